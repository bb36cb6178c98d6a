//! Runs the configuration service stand-in.

use comfreyhaven_process::error::ProcessError;
use comfreyhaven_standin::configuration::ConfigurationService;
use comfreyhaven_standin::launch;

fn main() -> Result<(), ProcessError> {
    let about = "A configuration service that counts its calls and can be down or stale";
    let matches = launch::cli("standin-configuration", about).get_matches();
    let service = ConfigurationService::default();
    launch::block_on(launch::serve(&matches, move |request| {
        service.clone().handle(request)
    }))
}
