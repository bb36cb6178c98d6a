//! Runs the host list stand-in.

use std::time::Duration;

use comfreyhaven_process::error::ProcessError;
use comfreyhaven_standin::hosts::Hosts;
use comfreyhaven_standin::launch;

fn main() -> Result<(), ProcessError> {
    let matches = launch::cli(
        "standin-hosts",
        "A list of live and leaving hosts that lags",
    )
    .arg(launch::number(
        "lag-ms",
        "2000",
        "Time until a change shows",
    ))
    .get_matches();
    let hosts = Hosts::new(Duration::from_millis(launch::number_of(&matches, "lag-ms")));
    launch::block_on(launch::serve(&matches, move |request| {
        hosts.clone().handle(request)
    }))
}
