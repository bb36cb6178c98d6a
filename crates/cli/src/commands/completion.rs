//! `comfreyhaven completion`.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

use crate::error::CliError;

/// Returns the definition of the subcommand.
pub(super) fn cli() -> Command {
    Command::new("completion")
        .about("Print a shell completion script")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .help("Shell to print the script for")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

/// Prints the completion script.
pub(super) fn exec(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let shell = matches.get_one::<Shell>("shell").copied();
    let shell = shell.unwrap_or(Shell::Bash);
    clap_complete::generate(
        shell,
        &mut super::cli(),
        "comfreyhaven",
        &mut std::io::stdout(),
    );
    Ok(ExitCode::SUCCESS)
}
