//! Command line of the recorded traces and benchmarks.

use std::process::ExitCode;

use comfreyhaven_trial::{TrialError, cli, exec};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("trial: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), TrialError> {
    let matches = cli().get_matches();
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(exec(&matches))
}
