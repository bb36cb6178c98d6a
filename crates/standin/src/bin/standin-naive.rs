//! Runs the naive scheduler.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, value_parser};
use comfreyhaven_process::error::ProcessError;
use comfreyhaven_standin::launch;
use comfreyhaven_standin::naive::Naive;

fn main() -> Result<(), ProcessError> {
    let matches = launch::cli("standin-naive", "Round robin over endpoints, with retries")
        .arg(addresses("engine", "A model engine"))
        .arg(addresses("service", "A plain service"))
        .get_matches();
    let naive = Naive::new(&all(&matches, "engine"), &all(&matches, "service"));
    launch::block_on(launch::serve(&matches, move |request| {
        naive.clone().handle(request)
    }))
}

fn addresses(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .help(help)
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
}

fn all(matches: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    let values = matches.get_many(name);
    values.into_iter().flatten().copied().collect()
}
