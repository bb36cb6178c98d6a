//! Runs the configuration service stand-in.

use comfreyhaven_process::error::ProcessError;
use comfreyhaven_standin::launch;
use comfreyhaven_standin::values::Values;

fn main() -> Result<(), ProcessError> {
    let about = "A configuration service that can be down or stale and counts its calls";
    let matches = launch::cli("standin-configuration", about).get_matches();
    let values = Values::default();
    launch::block_on(launch::serve(&matches, move |request| {
        values.clone().handle(request)
    }))
}
