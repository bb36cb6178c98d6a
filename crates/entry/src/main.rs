//! Entry daemon: reads the settings and runs the entry.

use std::process::ExitCode;

use comfreyhaven_config::settings::EntrySettings;
use comfreyhaven_entry::run;
use comfreyhaven_process::args;
use comfreyhaven_process::error::ProcessError;

fn main() -> ExitCode {
    let matches = args::cli(
        "comfreyhaven-entry",
        "Accepts callers' requests and answers each with a complete answer or a refusal",
    )
    .get_matches();
    match start(&args::settings(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("comfreyhaven-entry: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start(path: &std::path::Path) -> Result<(), ProcessError> {
    let settings = EntrySettings::load(path)?;
    comfreyhaven_process::logging::init_structured(&settings.process.log)?;
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(run(settings))
}
