//! Limits that endpoints may name.

use comfreyhaven_core::direct::RequestLimit;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

use super::{StatedLimit, read};

fn read_values(values: &[&'static str]) -> StatedLimit {
    let name = HeaderName::from_static("server-limit");
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(name.clone(), HeaderValue::from_static(value));
    }
    read(&headers, &name)
}

/// Guards against limits that are lost since their number is written in another way.
#[test]
fn reads_decimal_numbers() {
    for (value, limit) in [
        ("2.6", 2.6),
        ("2", 2.0),
        ("0", 0.0),
        (" 0.75 ", 0.75),
        ("007.50", 7.5),
        ("2.6004", 2.6),
        ("99999999999999999999", f64::MAX),
    ] {
        let expected = StatedLimit {
            limit: Some(RequestLimit::new(limit)),
            malformed: false,
        };
        assert_eq!(read_values(&[value]), expected, "{value:?}");
    }
    assert!(read_values(&[]).is_absent());
}

/// Guards against an arbitrary limit from a value that names none, and against taking such a value
/// for the end of a limit.
#[test]
fn ignores_what_is_no_decimal_number() {
    for value in [
        "", "-1", "+1", "nan", "inf", "1e3", "0x10", "1.", ".5", "1.2.3", "5/s", "1 2",
    ] {
        let read = read_values(&[value]);
        assert_eq!(read.limit, None, "{value:?}");
        assert!(!read.is_absent(), "{value:?}");
    }
}

/// Guards against a higher limit from the first of several values.
#[test]
fn the_lowest_of_several_values_counts() {
    let lowest = Some(RequestLimit::new(1.5));
    assert_eq!(read_values(&["4", "1.5", "2"]).limit, lowest);
    assert_eq!(read_values(&["3, 1.5"]).limit, lowest);
    let partly = read_values(&["few", "1.5"]);
    assert_eq!((partly.limit, partly.malformed), (lowest, true));
}
