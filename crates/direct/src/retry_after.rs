//! The `Retry-After` header of an endpoint's answer.

use std::time::Duration;

use hyper::header::{HeaderMap, RETRY_AFTER};

use crate::decimal;

#[cfg(test)]
mod tests;

/// The delays that an answer states.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryAfter {
    /// The longest delay that can be read.
    pub delay: Option<Duration>,
    /// Whether a value is no number of seconds.
    pub malformed: bool,
}

/// Reads all `Retry-After` headers of an answer. A value is a number of seconds, which may have
/// fractions; dates are malformed, since they depend on two clocks.
///
/// ```
/// use comfreyhaven_direct::retry_after;
/// use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
/// use std::time::Duration;
///
/// let mut headers = HeaderMap::new();
/// headers.append(RETRY_AFTER, HeaderValue::from_static("0.5"));
/// headers.append(RETRY_AFTER, HeaderValue::from_static("2"));
/// let read = retry_after::read(&headers);
/// assert_eq!(read.delay, Some(Duration::from_secs(2)));
/// assert!(!read.malformed);
/// ```
#[must_use]
pub fn read(headers: &HeaderMap) -> RetryAfter {
    let mut read = RetryAfter::default();
    for value in headers.get_all(RETRY_AFTER) {
        let Ok(text) = value.to_str() else {
            read.malformed = true;
            continue;
        };
        for part in text.split(',') {
            match seconds(part.trim()) {
                Some(delay) => read.delay = read.delay.max(Some(delay)),
                None => read.malformed = true,
            }
        }
    }
    read
}

/// Reads a non-negative decimal number of seconds. More than a [`Duration`] holds counts as
/// [`Duration::MAX`].
fn seconds(text: &str) -> Option<Duration> {
    let seconds = decimal::read(text)?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}
