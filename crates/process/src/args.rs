//! Command line of the daemons.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};

/// Returns the command line of a daemon, with the required option `--settings`.
///
/// ```
/// let matches = comfreyhaven_process::args::cli("entry", "An entry")
///     .try_get_matches_from(["entry", "--settings", "entry.ini"])
///     .unwrap();
/// let path = comfreyhaven_process::args::settings(&matches);
/// assert_eq!(path, std::path::Path::new("entry.ini"));
/// ```
#[must_use]
pub fn cli(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("INI file with the settings of this process")
                .value_parser(value_parser!(PathBuf))
                .required(true),
        )
}

/// Returns the path that was given as `--settings`.
#[must_use]
pub fn settings(matches: &ArgMatches) -> PathBuf {
    matches
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default()
}
