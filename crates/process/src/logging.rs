//! Logging: one event per line, with stable field names. Daemons write JSON to standard output;
//! programs that are run by hand write text to standard error.

pub mod structured;

#[cfg(test)]
mod tests;

use std::io::Write;

use log::kv::{Error, Key, Value, VisitSource};

struct Fields<'a>(&'a mut env_logger::fmt::Formatter);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::boxed)
    }
}

/// Starts logging as JSON to standard output, without blocking if the output is not read.
/// `RUST_LOG`, if set, takes precedence over `filter`.
///
/// # Errors
/// Returns an error if the writer thread cannot be started.
pub fn init_structured(filter: &str) -> std::io::Result<()> {
    let variable = std::env::var(env_logger::DEFAULT_FILTER_ENV);
    let filter = variable.as_deref().unwrap_or(filter);
    let logger = structured::StructuredLogger::new(filter, std::io::stdout())?;
    // A second call in one process, as in tests, keeps the first logger.
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(log::LevelFilter::Trace);
    }
    Ok(())
}

/// Starts logging as text to standard error. `RUST_LOG`, if set, takes precedence over `filter`.
pub fn init(filter: &str) {
    let env = env_logger::Env::default().default_filter_or(filter);
    let format = |out: &mut env_logger::fmt::Formatter, record: &log::Record<'_>| {
        let time = out.timestamp_millis();
        write!(
            out,
            "{time} {} {} {}",
            record.level(),
            record.target(),
            record.args()
        )?;
        record
            .key_values()
            .visit(&mut Fields(out))
            .map_err(std::io::Error::other)?;
        writeln!(out)
    };
    // A second call in one process, as in tests, keeps the first logger.
    let _ = env_logger::Builder::from_env(env).format(format).try_init();
}
