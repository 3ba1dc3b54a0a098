//! Load reports of servers, and parsing of the decimal numbers in them.

use asterreel::interface::{MemberReport, Role};

/// Parses a decimal number and multiplies it by ten to the power, rounding down. Integers keep it exact, which a float
/// would not.
pub(super) fn parse_decimal(text: &[u8], power: usize) -> Option<u64> {
    let text = std::str::from_utf8(text).ok()?.trim();
    let (whole, part) = text.split_once('.').unwrap_or((text, ""));
    let mut value: u64 = whole.parse().ok()?;
    let digits = part.bytes().chain(std::iter::repeat(b'0'));
    for digit in digits.take(power) {
        let digit = char::from(digit).to_digit(10)?;
        value = value.checked_mul(10)?.checked_add(u64::from(digit))?;
    }
    Some(value)
}

/// The power of ten by which a report's numbers are multiplied: seconds become microseconds.
const MICRO_DIGITS: usize = 6;
/// The value of `x1`, in millionths, from which a server is the primary.
const PRIMARY_THRESHOLD: u64 = 500_000;

/// Parses a load report: `x0` is the server's position in Unix seconds, and `x1` says whether it is the primary.
pub(crate) fn load_report(value: &[u8]) -> MemberReport {
    let mut report = MemberReport::default();
    for pair in value.split(|byte| *byte == b',') {
        let Some(equals) = pair.iter().position(|byte| *byte == b'=') else {
            continue;
        };
        let (name, value) = (pair[..equals].trim_ascii(), &pair[equals + 1..]);
        match (name, parse_decimal(value, MICRO_DIGITS)) {
            (b"x0", position) => report.position = position,
            (b"x1", Some(primary)) => {
                report.role = Some(if primary >= PRIMARY_THRESHOLD {
                    Role::Primary
                } else {
                    Role::Replica
                });
            }
            _ => {}
        }
    }
    report
}
