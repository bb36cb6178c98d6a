//! Command line of `trial` and dispatch to its subcommands.

mod bench;
mod run;

use clap::{ArgMatches, Command};

use crate::error::TrialError;

/// Returns the command line with all subcommands.
#[must_use]
pub fn cli() -> Command {
    Command::new("trial")
        .about("Runs comfreyhaven with recorded traces")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(run::cli())
        .subcommand(bench::cli())
}

/// Runs the given subcommand. A termination signal stops it together with the processes that it
/// started.
///
/// # Errors
/// Returns the [`TrialError`] of the subcommand, or [`TrialError::Interrupted`] after a signal.
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
