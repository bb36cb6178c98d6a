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
    .arg(launch::number_arg(
        "batch",
        "16",
        "Maximum number of sequences in the batch",
    ))
    .arg(launch::number_arg(
        "prefill",
        "20000",
        "Prompt tokens prefilled per second",
    ))
    .arg(launch::number_arg(
        "step-us",
        "2000",
        "Duration of a decoding step, in microseconds",
    ))
    .arg(launch::number_arg(
        "cache",
        "65536",
        "Size of the prefix cache, in prompt tokens",
    ))
    .arg(launch::number_arg(
        "cold",
        "4",
        "Maximum number of concurrent requests while cold",
    ))
    .arg(launch::number_arg(
        "warm-up",
        "16",
        "Number of completions until the engine is warm",
    ))
    .arg(launch::number_arg(
        "bearing",
        "32",
        "Maximum number of concurrent requests while warm",
    ))
    .arg(launch::number_arg(
        "restart-ms",
        "1000",
        "Time from a crash to the restart, in milliseconds",
    ))
    .arg(launch::number_arg(
        "lag-ms",
        "500",
        "Age of the load report, in milliseconds",
    ))
    .get_matches();
    let count = |name| usize::try_from(launch::number_value(&matches, name)).unwrap_or(usize::MAX);
    let millis = |name| Duration::from_millis(launch::number_value(&matches, name));
    let spec = Spec {
        batch_size: count("batch"),
        prefill_rate: launch::number_value(&matches, "prefill"),
        decode_step: Duration::from_micros(launch::number_value(&matches, "step-us")),
        cache_tokens: launch::number_value(&matches, "cache"),
        cold_capacity: count("cold"),
        warm_up: launch::number_value(&matches, "warm-up"),
        warm_capacity: count("bearing"),
        restart_time: millis("restart-ms"),
        report_lag: millis("lag-ms"),
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
