//! Admin addresses of processes, given on the command line.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, value_parser};

/// Returns the argument that accepts one or more addresses.
pub(crate) fn arg(help: &'static str) -> Arg {
    Arg::new("address")
        .value_name("ADDRESS")
        .help(help)
        .required(true)
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
}

/// Returns the addresses given on the command line.
pub(crate) fn from_matches(matches: &ArgMatches) -> Vec<SocketAddr> {
    let addresses = matches.get_many::<SocketAddr>("address");
    addresses.into_iter().flatten().copied().collect()
}
