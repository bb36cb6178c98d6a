//! Tests of the list of a prompt's parts.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};

use super::read;

const NAME: HeaderName = HeaderName::from_static("parts");

fn count(value: &'static str) -> usize {
    let mut headers = HeaderMap::new();
    headers.append(NAME, HeaderValue::from_static(value));
    read(&headers, &NAME).len()
}

#[test]
fn a_part_is_known_by_its_id_alone() {
    let mut headers = HeaderMap::new();
    headers.append(NAME, HeaderValue::from_static("5c1e:800, 91BD:410"));
    let first = read(&headers, &NAME);
    headers.insert(NAME, HeaderValue::from_static("91bd:7,5c1e"));
    assert_eq!(read(&headers, &NAME), first);
    assert_eq!(first.len(), 2);
}

#[test]
fn malformed_lists_name_what_can_be_read() {
    assert_eq!(count(""), 0);
    assert_eq!(count(",:,  ,:5"), 0);
    assert_eq!(count("a:1,a:2,,b"), 2);
    assert_eq!(read(&HeaderMap::new(), &NAME).len(), 0);
}

/// Guards against a part that crashes endpoints and stands behind those that are read.
#[test]
fn every_part_that_fits_into_a_head_is_read() {
    let long: Vec<_> = (0..4_000).map(|part| format!("{part:x}")).collect();
    let value = HeaderValue::from_str(&long.join(",")).expect("it is a header value");
    let headers = HeaderMap::from_iter([(NAME, value)]);
    assert_eq!(read(&headers, &NAME).len(), long.len());
}
