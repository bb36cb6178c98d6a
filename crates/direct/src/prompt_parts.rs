//! Reads the parts of a request's prompt from the header that lists them.

use std::sync::Arc;

use comfreyhaven_core::direct::digest;
use comfreyhaven_core::request::PartDigest;
use hyper::header::{HeaderMap, HeaderName};

#[cfg(test)]
mod tests;

/// Returns the digests of the parts that the header `name` lists as `ID:TOKENS,...`, without
/// duplicates. Entries without an id are ignored. Only the size of a request's head bounds their number.
pub(crate) fn read(headers: &HeaderMap, name: &HeaderName) -> Arc<[PartDigest]> {
    let values = headers.get_all(name).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let ids = texts.flat_map(|text| text.split(',')).map(part_id);
    let mut parts: Vec<_> = ids
        .filter(|id| !id.is_empty())
        .map(|id| PartDigest(digest(&("part", id.to_ascii_lowercase()))))
        .collect();
    parts.sort_unstable();
    parts.dedup();
    parts.into()
}

/// Returns the digests of parts as text, for log lines.
pub(crate) fn text(parts: &[PartDigest]) -> String {
    let parts = parts.iter().map(|part| format!("{:x}", part.0));
    parts.collect::<Vec<_>>().join(",")
}

fn part_id(entry: &str) -> &str {
    let (id, _) = entry.split_once(':').unwrap_or((entry, ""));
    id.trim()
}
