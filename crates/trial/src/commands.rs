//! The subcommands.

mod bench;
mod run;

use clap::{ArgMatches, Command};

use crate::error::TrialError;

/// Describes the whole command line.
#[must_use]
pub fn cli() -> Command {
    Command::new("trial")
        .about("Runs comfreyhaven under recorded traces")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(run::cli())
        .subcommand(bench::cli())
}

/// Carries out the subcommand that was given. A signal ends it, and with it what it started.
///
/// # Errors
/// Returns a [`TrialError`] that says what failed.
pub async fn exec(matches: &ArgMatches) -> Result<(), TrialError> {
    let work = async {
        match matches.subcommand() {
            Some(("run", _)) => run::exec().await,
            Some(("bench", matches)) => bench::exec(matches).await,
            _ => Ok(()),
        }
    };
    tokio::select! {
        done = work => done,
        signalled = comfreyhaven_process::shutdown::wait_for_signal() => {
            signalled?;
            Err(TrialError::Interrupted)
        }
    }
}
