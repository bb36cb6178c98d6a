//! The `comfreyhaven` command.

use std::process::ExitCode;

use comfreyhaven_cli::{cli, exec};

fn main() -> ExitCode {
    match exec(&cli().get_matches()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("comfreyhaven: {error}");
            ExitCode::from(error.code())
        }
    }
}
