//! Runs the host list stand-in.

use std::time::Duration;

use comfreyhaven_process::error::ProcessError;
use comfreyhaven_standin::hosts::HostList;
use comfreyhaven_standin::launch;

fn main() -> Result<(), ProcessError> {
    let matches = launch::cli(
        "standin-hosts",
        "A list of live and leaving hosts that shows changes with a delay",
    )
    .arg(launch::number_arg(
        "lag-ms",
        "2000",
        "Delay until a change shows, in milliseconds",
    ))
    .get_matches();
    let hosts = HostList::new(Duration::from_millis(launch::number_value(
        &matches, "lag-ms",
    )));
    launch::block_on(launch::serve(&matches, move |request| {
        hosts.clone().handle(request)
    }))
}
