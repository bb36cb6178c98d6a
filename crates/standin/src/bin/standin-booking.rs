//! Runs the plain service stand-in.

use std::time::Duration;

use comfreyhaven_process::error::ProcessError;
use comfreyhaven_standin::booking::Booking;
use comfreyhaven_standin::launch;

fn main() -> Result<(), ProcessError> {
    let matches = launch::cli(
        "standin-booking",
        "A service that counts how often each booking ran",
    )
    .arg(launch::number("delay-ms", "5", "Time that a call takes"))
    .get_matches();
    let booking = Booking::new(Duration::from_millis(launch::number_of(
        &matches, "delay-ms",
    )));
    launch::block_on(launch::serve(&matches, move |request| {
        booking.clone().handle(request)
    }))
}
