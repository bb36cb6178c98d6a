//! Runs the plain service stand-in.

use std::time::Duration;

use comfreyhaven_process::error::ProcessError;
use comfreyhaven_standin::booking::BookingService;
use comfreyhaven_standin::launch;

fn main() -> Result<(), ProcessError> {
    let matches = launch::cli(
        "standin-booking",
        "A service that counts the executions of each booking",
    )
    .arg(launch::number_arg(
        "delay-ms",
        "5",
        "Duration of a call, in milliseconds",
    ))
    .get_matches();
    let service = BookingService::new(Duration::from_millis(launch::number_value(
        &matches, "delay-ms",
    )));
    launch::block_on(launch::serve(&matches, move |request| {
        service.clone().handle(request)
    }))
}
