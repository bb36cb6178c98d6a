//! Gauges of memory and processor time.

use std::time::Duration;

use cpu_time::{ProcessTime, ThreadTime};

use crate::ALLOCATOR;
use crate::error::CapacityError;

/// Runs of a timed work; the cheapest one counts, since other work on the machine only adds.
const RUNS: usize = 15;

/// Bytes that are allocated now.
pub fn live_bytes() -> f64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}

/// Does the work and tells the bytes that its result keeps.
pub fn memory_of<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let before = live_bytes();
    let result = work();
    (result, live_bytes() - before)
}

/// Microseconds of this thread's processor time that the cheapest of several runs takes.
pub fn time_of<T>(
    mut work: impl FnMut() -> Result<T, CapacityError>,
) -> Result<f64, CapacityError> {
    let mut cheapest = f64::INFINITY;
    for _ in 0..RUNS {
        let start = ThreadTime::now();
        let result = work()?;
        cheapest = cheapest.min(micros(start.elapsed()));
        drop(result);
    }
    Ok(cheapest)
}

/// Starts to count the processor time of the whole process.
pub fn process_time() -> ProcessTime {
    ProcessTime::now()
}

/// A duration in microseconds.
pub fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}

/// Bytes of memory that another process has resident.
pub fn resident_bytes(id: u32) -> Result<f64, CapacityError> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<f64>().ok());
    Ok(kilobytes.unwrap_or(0.0) * 1024.0)
}

/// Microseconds of processor time that the threads of another process have taken.
pub fn core_micros(id: u32) -> Result<f64, CapacityError> {
    let mut nanos = 0.0;
    for thread in std::fs::read_dir(format!("/proc/{id}/task"))? {
        let stat = std::fs::read_to_string(thread?.path().join("schedstat"))?;
        let running = stat.split_whitespace().next();
        nanos += running
            .and_then(|text| text.parse::<f64>().ok())
            .unwrap_or(0.0);
    }
    Ok(nanos / 1e3)
}
