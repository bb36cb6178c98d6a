//! Arguments of `trial run`.

use clap::Command;

use crate::error::TrialError;
use crate::run;

/// Returns the command line of the subcommand.
pub(super) fn cli() -> Command {
    Command::new("run").about("Replay both recorded traces and check every answer")
}

/// Replays both traces and fails unless every answer is complete.
pub(super) async fn exec() -> Result<(), TrialError> {
    let summary = run::run().await?;
    println!("{summary}");
    if summary.all_complete() {
        Ok(())
    } else {
        Err(TrialError::NotWhole)
    }
}
