//! A commented starter configuration.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

use crate::error::CliError;

/// File name and text of each document.
const DOCUMENTS: [(&str, &str); 3] = [
    ("fleet.ini", include_str!("starter/fleet.ini")),
    ("routes.ini", include_str!("starter/routes.ini")),
    ("teams-0.ini", include_str!("starter/teams-0.ini")),
];

/// Writes the documents to a directory and returns their paths.
///
/// # Errors
/// Returns [`CliError::Create`] for the first file that exists or cannot be written.
pub fn write(directory: &Path) -> Result<Vec<PathBuf>, CliError> {
    let failed = |path: &Path, source| CliError::Create {
        path: path.display().to_string(),
        source,
    };
    std::fs::create_dir_all(directory).map_err(|source| failed(directory, source))?;
    let mut written = Vec::new();
    for (name, text) in DOCUMENTS {
        let path = directory.join(name);
        let created = File::create_new(&path);
        let result = created.and_then(|mut file| file.write_all(text.as_bytes()));
        result.map_err(|source| failed(&path, source))?;
        written.push(path);
    }
    Ok(written)
}
