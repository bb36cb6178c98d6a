//! Typed values and their units.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};

/// The text is not a valid value. The message states what is expected.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ValueError {
    /// Expected a duration.
    #[display("a whole number with a unit of time: ms, s or m, such as 800ms")]
    Duration,
    /// Expected a token rate.
    #[display("a whole number of tokens per second, such as 2000/s")]
    Rate,
    /// Expected a count.
    #[display("a whole number")]
    Count,
    /// Expected a Boolean.
    #[display("true or false")]
    Flag,
    /// Expected a socket address.
    #[display("an IP address and a port, such as 10.0.1.1:7000")]
    Address,
    /// Expected one of the listed words.
    #[display("one of {_0}")]
    Choice(#[error(not(source))] String),
}

/// A duration written as `800ms`, `30s` or `5m`.
///
/// ```
/// use comfreyhaven_config::value::Span;
/// use std::time::Duration;
///
/// let span: Span = "800ms".parse().unwrap();
/// assert_eq!(span.0, Duration::from_millis(800));
/// assert_eq!(span.to_string(), "800ms");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

impl FromStr for Span {
    type Err = ValueError;
    fn from_str(text: &str) -> Result<Self, ValueError> {
        let digits = text.trim_end_matches(|c: char| !c.is_ascii_digit());
        let number = parse_digits(digits).ok_or(ValueError::Duration)?;
        let millis = match &text[digits.len()..] {
            "ms" => Some(number),
            "s" => number.checked_mul(1_000),
            "m" => number.checked_mul(60_000),
            _ => None,
        };
        millis
            .map(|millis| Self(Duration::from_millis(millis)))
            .ok_or(ValueError::Duration)
    }
}

impl std::fmt::Display for Span {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let millis = self.0.as_millis();
        match (millis % 60_000, millis % 1_000) {
            (0, _) if millis > 0 => write!(f, "{}m", millis / 60_000),
            (_, 0) => write!(f, "{}s", millis / 1_000),
            _ => write!(f, "{millis}ms"),
        }
    }
}

/// A rate in tokens per second, written as `2000/s`.
///
/// ```
/// use comfreyhaven_config::value::TokenRate;
/// assert_eq!("2000/s".parse(), Ok(TokenRate(2000)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{_0}/s")]
pub struct TokenRate(pub u64);

impl FromStr for TokenRate {
    type Err = ValueError;
    fn from_str(text: &str) -> Result<Self, ValueError> {
        let number = text.strip_suffix("/s").ok_or(ValueError::Rate)?;
        parse_digits(number).map(Self).ok_or(ValueError::Rate)
    }
}

/// A whole number, written in digits without a sign.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub struct Count(pub u64);

impl FromStr for Count {
    type Err = ValueError;
    fn from_str(text: &str) -> Result<Self, ValueError> {
        parse_digits(text).map(Self).ok_or(ValueError::Count)
    }
}

/// A Boolean, written as `true` or `false`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct Flag(pub bool);

impl FromStr for Flag {
    type Err = ValueError;
    fn from_str(text: &str) -> Result<Self, ValueError> {
        text.parse().map(Self).map_err(|_| ValueError::Flag)
    }
}

/// An IP address and a port, written as `10.0.1.1:7000`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct Address(pub SocketAddr);

impl FromStr for Address {
    type Err = ValueError;
    fn from_str(text: &str) -> Result<Self, ValueError> {
        text.parse().map(Self).map_err(|_| ValueError::Address)
    }
}

/// Parses digits only. The standard library would also accept a leading `+`.
fn parse_digits(text: &str) -> Option<u64> {
    let plain = text.bytes().all(|byte| byte.is_ascii_digit());
    plain.then(|| text.parse().ok()).flatten()
}

/// A variant of an enum, written by its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice<T>(pub T);

impl<T: FromStr + strum::VariantNames> FromStr for Choice<T> {
    type Err = ValueError;
    fn from_str(text: &str) -> Result<Self, ValueError> {
        text.parse()
            .map(Self)
            .map_err(|_| ValueError::Choice(T::VARIANTS.join(", ")))
    }
}
