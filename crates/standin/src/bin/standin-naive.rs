//! Runs the naive scheduler.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, value_parser};
use comfreyhaven_process::error::ProcessError;
use comfreyhaven_standin::launch;
use comfreyhaven_standin::naive::NaiveScheduler;

fn main() -> Result<(), ProcessError> {
    let matches = launch::cli("standin-naive", "A round robin scheduler with retries")
        .arg(addresses_arg(
            "engine",
            "Address of a model engine; may be repeated",
        ))
        .arg(addresses_arg(
            "service",
            "Address of a plain service; may be repeated",
        ))
        .get_matches();
    let scheduler = NaiveScheduler::new(
        &address_values(&matches, "engine"),
        &address_values(&matches, "service"),
    );
    launch::block_on(launch::serve(&matches, move |request| {
        scheduler.clone().handle(request)
    }))
}

fn addresses_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .help(help)
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
}

fn address_values(matches: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    let values = matches.get_many(name);
    values.into_iter().flatten().copied().collect()
}
