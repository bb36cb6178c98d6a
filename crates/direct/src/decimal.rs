//! Decimal numbers in headers.

/// Reads a non-negative decimal number: digits, and perhaps a point and further digits. Other
/// spellings of numbers, such as exponents, are no decimal numbers.
#[must_use]
pub(crate) fn read(text: &str) -> Option<f64> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_number =
        |digits: &str| !digits.is_empty() && digits.bytes().all(|digit| digit.is_ascii_digit());
    if !is_number(whole) || !is_number(fraction) {
        return None;
    }
    text.parse().ok()
}
