//! `trial run`.

use clap::Command;

use crate::error::TrialError;
use crate::run;

/// Describes the subcommand.
pub(super) fn cli() -> Command {
    Command::new("run").about("Send both recorded traces and check every answer")
}

/// Runs both traces, and fails unless every answer is whole.
pub(super) async fn exec() -> Result<(), TrialError> {
    let summary = run::run().await?;
    println!("{summary}");
    if summary.is_whole() {
        Ok(())
    } else {
        Err(TrialError::NotWhole)
    }
}
