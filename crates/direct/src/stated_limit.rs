//! The header with which an endpoint names the requests that it takes.

use comfreyhaven_core::direct::RequestLimit;
use hyper::header::{HeaderMap, HeaderName};

use crate::decimal;

#[cfg(test)]
mod tests;

/// The limits that an answer names.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StatedLimit {
    /// The lowest limit that can be read.
    pub limit: Option<RequestLimit>,
    /// Whether a value is no decimal number.
    pub malformed: bool,
}

impl StatedLimit {
    /// Returns whether the answer has no such header.
    #[must_use]
    pub const fn is_absent(&self) -> bool {
        self.limit.is_none() && !self.malformed
    }
}

/// Reads all headers `name` of an answer. A value is a decimal number of requests per second.
///
/// ```
/// use comfreyhaven_core::direct::RequestLimit;
/// use comfreyhaven_direct::stated_limit;
/// use hyper::header::{HeaderMap, HeaderName, HeaderValue};
///
/// let name = HeaderName::from_static("server-limit");
/// let mut headers = HeaderMap::new();
/// headers.append(name.clone(), HeaderValue::from_static("2.6"));
/// let read = stated_limit::read(&headers, &name);
/// assert_eq!(read.limit, Some(RequestLimit::new(2.6)));
/// ```
#[must_use]
pub fn read(headers: &HeaderMap, name: &HeaderName) -> StatedLimit {
    let mut read = StatedLimit::default();
    for value in headers.get_all(name) {
        let Ok(text) = value.to_str() else {
            read.malformed = true;
            continue;
        };
        for part in text.split(',') {
            let Some(number) = decimal::read(part.trim()) else {
                read.malformed = true;
                continue;
            };
            let limit = RequestLimit::new(number);
            read.limit = Some(read.limit.map_or(limit, |lowest| lowest.min(limit)));
        }
    }
    read
}
