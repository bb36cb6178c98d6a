//! Loads and writes documents.

use std::path::{Path, PathBuf};

use comfreyhaven_config::{Document, check};
use comfreyhaven_core::fleet::Fleet;

use crate::error::CliError;

const EXTENSION: &str = "ini";

/// Checks documents together and returns the fleet that they declare. For a directory, all `.ini`
/// files in it are loaded.
///
/// # Errors
/// Returns every problem of every file, or the first file that cannot be read.
pub fn load(paths: &[PathBuf]) -> Result<Fleet, CliError> {
    let mut texts = Vec::new();
    for path in paths {
        for file in files(path)? {
            let text =
                std::fs::read_to_string(&file).map_err(|source| unreadable(&file, source))?;
            texts.push((file.display().to_string(), text));
        }
    }
    let texts = texts.iter();
    Ok(check(
        texts.map(|(path, text)| (path.as_str(), text.as_str())),
    )?)
}

/// Writes each document to a file named after it, with the extension `.ini`.
///
/// # Errors
/// Returns the first file that cannot be written.
pub fn write(directory: &Path, documents: &[Document]) -> Result<(), CliError> {
    let failed = |path: &Path, source| CliError::Create {
        path: path.display().to_string(),
        source,
    };
    std::fs::create_dir_all(directory).map_err(|source| failed(directory, source))?;
    for document in documents {
        let path = directory.join(document.name()).with_extension(EXTENSION);
        std::fs::write(&path, document.text()).map_err(|source| failed(&path, source))?;
    }
    Ok(())
}

fn files(path: &Path) -> Result<Vec<PathBuf>, CliError> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    let entries = std::fs::read_dir(path).map_err(|source| unreadable(path, source))?;
    for entry in entries {
        let file = entry.map_err(|source| unreadable(path, source))?.path();
        if file
            .extension()
            .is_some_and(|extension| extension == EXTENSION)
        {
            files.push(file);
        }
    }
    files.sort();
    if files.is_empty() {
        return Err(CliError::Empty(path.display().to_string()));
    }
    Ok(files)
}

fn unreadable(path: &Path, source: std::io::Error) -> CliError {
    CliError::Read {
        path: path.display().to_string(),
        source,
    }
}
