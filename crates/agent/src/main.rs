//! Agent daemon: reads the settings and runs the agent.

use std::process::ExitCode;

use comfreyhaven_agent::run;
use comfreyhaven_config::settings::AgentSettings;
use comfreyhaven_process::args;
use comfreyhaven_process::error::ProcessError;

fn main() -> ExitCode {
    let matches = args::cli(
        "comfreyhaven-agent",
        "Queues requests for one endpoint and runs them within its capacity",
    )
    .get_matches();
    match start(&args::settings(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("comfreyhaven-agent: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start(path: &std::path::Path) -> Result<(), ProcessError> {
    let settings = AgentSettings::load(path)?;
    comfreyhaven_process::logging::init_structured(&settings.process.log)?;
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(run(settings))
}
