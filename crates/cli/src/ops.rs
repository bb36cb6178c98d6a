//! What the subcommands do.

use std::path::PathBuf;

use comfreyhaven_config::{Document, Problems, assemble};
use comfreyhaven_core::fleet::Fleet;

use crate::error::CliError;

/// Checks documents together and returns the fleet that they declare.
///
/// # Errors
/// Returns every problem of every file, or the file that cannot be read.
pub fn check(files: &[PathBuf]) -> Result<Fleet, CliError> {
    let mut problems = Vec::new();
    let mut documents = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|source| CliError::Read {
            path: file.display().to_string(),
            source,
        })?;
        match Document::new(&text) {
            Ok(document) => documents.push(document),
            Err(found) => problems.extend(found.0),
        }
    }
    match assemble(&documents) {
        Ok(fleet) => Ok(Problems(problems).unless_empty(fleet)?),
        Err(found) => {
            problems.extend(found.0);
            Err(Problems(problems).into())
        }
    }
}
