//! Runs the engine stand-in.

use std::time::Duration;

use comfreyhaven_process::error::ProcessError;
use comfreyhaven_standin::engine::{Engine, Spec};
use comfreyhaven_standin::launch;

fn main() -> Result<(), ProcessError> {
    let matches = launch::cli(
        "standin-engine",
        "A small model engine with continuous batching",
    )
    .arg(launch::number("batch", "16", "Sequences decoded at once"))
    .arg(launch::number(
        "prefill",
        "20000",
        "Prompt tokens prefilled a second",
    ))
    .arg(launch::number(
        "step-us",
        "2000",
        "Time of a decoding step, in microseconds",
    ))
    .arg(launch::number(
        "cache",
        "65536",
        "Prompt tokens that the prefix cache holds",
    ))
    .arg(launch::number(
        "cold",
        "4",
        "Requests borne at once while cold",
    ))
    .arg(launch::number(
        "warm-up",
        "16",
        "Completions until the engine is warm",
    ))
    .arg(launch::number(
        "bearing",
        "32",
        "Requests borne at once while warm",
    ))
    .arg(launch::number(
        "restart-ms",
        "1000",
        "Time to come back after a crash",
    ))
    .arg(launch::number("lag-ms", "500", "Age of the load report"))
    .get_matches();
    let count = |name| usize::try_from(launch::number_of(&matches, name)).unwrap_or(usize::MAX);
    let millis = |name| Duration::from_millis(launch::number_of(&matches, name));
    let spec = Spec {
        batch: count("batch"),
        prefill: launch::number_of(&matches, "prefill"),
        step: Duration::from_micros(launch::number_of(&matches, "step-us")),
        cache: launch::number_of(&matches, "cache"),
        cold: count("cold"),
        warm_up: launch::number_of(&matches, "warm-up"),
        bearing: count("bearing"),
        restart: millis("restart-ms"),
        lag: millis("lag-ms"),
    };
    launch::block_on(async {
        let engine = Engine::new(spec);
        let serving = launch::serve(&matches, {
            let engine = engine.clone();
            move |request| engine.clone().handle(request)
        });
        tokio::select! {
            served = serving => served,
            () = engine.run() => Ok(()),
        }
    })
}
