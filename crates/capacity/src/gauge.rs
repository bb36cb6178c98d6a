//! Measures memory and processor time of this process and of others.

use std::time::Duration;

use cpu_time::{ProcessTime, ThreadTime};

use crate::ALLOCATOR;
use crate::error::CapacityError;

/// Number of runs of a timed function. The shortest time counts, since other load on the machine
/// can only add to it.
const TIMED_RUNS: usize = 15;

/// Returns the number of bytes that are currently allocated on the heap.
pub fn live_bytes() -> f64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}

/// Calls `work` and returns its result with the number of bytes that remain allocated after it.
pub fn memory_of<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let before = live_bytes();
    let result = work();
    (result, live_bytes() - before)
}

/// Returns the microseconds of processor time of this thread in the shortest of several runs of
/// `work`.
pub fn time_of<T>(
    mut work: impl FnMut() -> Result<T, CapacityError>,
) -> Result<f64, CapacityError> {
    let mut shortest = f64::INFINITY;
    for _ in 0..TIMED_RUNS {
        let start = ThreadTime::now();
        let result = work()?;
        shortest = shortest.min(micros(start.elapsed()));
        drop(result);
    }
    Ok(shortest)
}

/// Starts a measurement of the processor time of the whole process.
pub fn process_time() -> ProcessTime {
    ProcessTime::now()
}

/// Converts a duration to microseconds.
pub fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}

/// Returns the resident memory of another process in bytes, or zero if the kernel does not report
/// it.
pub fn resident_bytes(pid: u32) -> Result<f64, CapacityError> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<f64>().ok());
    Ok(kilobytes.unwrap_or(0.0) * 1024.0)
}

/// Returns the microseconds of processor time that the present threads of another process have
/// used.
pub fn core_micros(pid: u32) -> Result<f64, CapacityError> {
    let mut nanos = 0.0;
    for thread in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let stat = std::fs::read_to_string(thread?.path().join("schedstat"))?;
        let running = stat.split_whitespace().next();
        nanos += running
            .and_then(|text| text.parse::<f64>().ok())
            .unwrap_or(0.0);
    }
    Ok(nanos / 1e3)
}
