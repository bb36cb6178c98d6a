//! Values of `Retry-After` that endpoints may send.

use std::time::Duration;

use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};

use super::{RetryAfter, read};

fn read_values(values: &[&'static str]) -> RetryAfter {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(RETRY_AFTER, HeaderValue::from_static(value));
    }
    read(&headers)
}

/// Guards against pauses that are lost since their number is written in another way.
#[test]
fn reads_numbers_of_seconds() {
    for (value, millis) in [
        ("0", 0),
        ("3", 3_000),
        ("0.25", 250),
        (" 1.5 ", 1_500),
        ("007", 7_000),
    ] {
        let expected = RetryAfter {
            delay: Some(Duration::from_millis(millis)),
            malformed: false,
        };
        assert_eq!(read_values(&[value]), expected, "{value:?}");
    }
    assert_eq!(read_values(&[]), RetryAfter::default());
}

/// Guards against an overflow that ends the process or drops the longest of all pauses.
#[test]
fn reads_a_huge_number_as_the_longest_delay() {
    for value in [
        "99999999999999999999",
        "1000000000000000000000000000000000000.5",
    ] {
        assert_eq!(read_values(&[value]).delay, Some(Duration::MAX), "{value}");
    }
}

/// Guards against a pause of arbitrary length from a value that names no seconds.
#[test]
fn ignores_what_is_no_number_of_seconds() {
    for value in [
        "",
        "-1",
        "+1",
        "nan",
        "inf",
        "1e3",
        "0x10",
        "1.",
        ".5",
        "1.2.3",
        "5s",
        "1 2",
        "Fri, 04 Dec 2026 07:00:00 GMT",
    ] {
        let expected = RetryAfter {
            delay: None,
            malformed: true,
        };
        assert_eq!(read_values(&[value]), expected, "{value:?}");
    }
}

/// Guards against a shorter pause from the first of several values.
#[test]
fn the_longest_of_several_values_counts() {
    assert_eq!(
        read_values(&["1", "4", "2"]).delay,
        Some(Duration::from_secs(4))
    );
    assert_eq!(read_values(&["1, 3"]).delay, Some(Duration::from_secs(3)));
    let partly = read_values(&["soon", "2"]);
    assert_eq!(
        (partly.delay, partly.malformed),
        (Some(Duration::from_secs(2)), true)
    );
}
