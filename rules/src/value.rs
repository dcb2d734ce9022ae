//! Parsing and formatting of the values in a rule.
//!
//! On malformed input, each parser returns a description of the values it accepts.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use entity::{Class, Name};
use winnow::Parser;
use winnow::ascii::{digit1, hex_digit1};
use winnow::combinator::{alt, opt, preceded, terminated};
use winnow::error::ContextError;
use winnow::token::{one_of, take_while};

use crate::config::{Fencing, KeyHash, PoolKind};

/// A description of the accepted values.
pub(crate) type Expected = &'static str;

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The maximum time limit of a route.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);

const SECONDS_PER_DAY: i64 = 24 * 60 * 60;

/// Applies `parser` to the entire `text`.
fn parse_all<'a, T>(
    mut parser: impl Parser<&'a str, T, ContextError>,
    text: &'a str,
    expected: Expected,
) -> Result<T, Expected> {
    parser.parse(text).map_err(|_| expected)
}

/// Parses a name.
pub(crate) fn name(text: &str) -> Result<Name, Expected> {
    let expected =
        "a name of at most 64 letters, digits, `.`, `_` and `-` that starts with a letter or digit";
    let first = one_of(|c: char| c.is_ascii_alphanumeric());
    let others = take_while(0..MAX_NAME_BYTES, |c: char| {
        c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-')
    });
    parse_all((first, others).take(), text, expected).map(Name::new)
}

/// Parses a number above 0.
pub(crate) fn positive(text: &str) -> Result<u32, Expected> {
    let expected = "a whole number above 0";
    match number(text) {
        Ok(value) if value > 0 => Ok(value),
        _ => Err(expected),
    }
}

/// Parses a number.
pub(crate) fn number(text: &str) -> Result<u32, Expected> {
    parse_all(digits, text, "a whole number")
}

/// Parses a revision.
pub(crate) fn revision(text: &str) -> Result<u64, Expected> {
    let parsed = parse_all(digit1.parse_to::<u64>(), text, "a revision number above 0")?;
    match parsed {
        0 => Err("a revision number above 0"),
        _ => Ok(parsed),
    }
}

fn digits(input: &mut &str) -> Result<u32, ContextError> {
    digit1.parse_to().parse_next(input)
}

/// Parses a rate in requests per second.
pub(crate) fn rate(text: &str) -> Result<u32, Expected> {
    let expected = "a rate above 0 in requests per second, such as `20/s`";
    match parse_all(terminated(digits, "/s"), text, expected)? {
        0 => Err(expected),
        rate => Ok(rate),
    }
}

/// Parses a time limit.
pub(crate) fn timeout(text: &str) -> Result<Duration, Expected> {
    let expected = "a time above 0 and up to `24h`, such as `500ms`, `30s`, `5m` or `2h`";
    let unit = alt((
        "ms".value(Duration::from_millis(1)),
        "s".value(Duration::from_secs(1)),
        "m".value(Duration::from_secs(60)),
        "h".value(Duration::from_secs(60 * 60)),
    ));
    let (count, unit) = parse_all((digits, unit), text, expected)?;
    match unit.checked_mul(count) {
        Some(time) if !time.is_zero() && time <= MAX_TIMEOUT => Ok(time),
        _ => Err(expected),
    }
}

/// Parses an address.
pub(crate) fn address(text: &str) -> Result<SocketAddr, Expected> {
    let expected = "an IP number and port, such as `10.0.0.7:7001`";
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 && !address.ip().is_unspecified() => Ok(address),
        _ => Err(expected),
    }
}

/// Parses a SHA-256 hash.
pub(crate) fn hash(text: &str) -> Result<KeyHash, Expected> {
    let expected = "`sha256:` and 64 hexadecimal digits";
    let hex = parse_all(preceded("sha256:", hex_digit1), text, expected)?;
    let mut bytes = [0; 32];
    if hex.len() != 2 * bytes.len() {
        return Err(expected);
    }
    for (byte, pair) in bytes.iter_mut().zip(hex.as_bytes().chunks_exact(2)) {
        let pair = core::str::from_utf8(pair).map_err(|_| expected)?;
        *byte = u8::from_str_radix(pair, 16).map_err(|_| expected)?;
    }
    Ok(KeyHash(bytes))
}

/// Parses a class.
pub(crate) fn class(text: &str) -> Result<Class, Expected> {
    match text {
        "interactive" => Ok(Class::Interactive),
        "standard" => Ok(Class::Standard),
        "batch" => Ok(Class::Batch),
        _ => Err("`interactive`, `standard` or `batch`"),
    }
}

/// Parses a kind of pool.
pub(crate) fn kind(text: &str) -> Result<PoolKind, Expected> {
    match text {
        "model" => Ok(PoolKind::Model),
        "service" => Ok(PoolKind::Service),
        _ => Err("`model` or `service`"),
    }
}

/// Parses how a target handles fencing numbers.
pub(crate) fn fencing(text: &str) -> Result<Fencing, Expected> {
    match text {
        "checked" => Ok(Fencing::Checked),
        "ignored" => Ok(Fencing::Ignored),
        _ => Err("`checked` or `ignored`"),
    }
}

/// Parses an HTTP method.
pub(crate) fn method(text: &str) -> Result<Name, Expected> {
    let expected = "an HTTP method in capitals, such as `POST`";
    let uppercase = take_while(1..=16, |c: char| c.is_ascii_uppercase());
    parse_all(uppercase, text, expected).map(Name::new)
}

/// Parses a path pattern.
pub(crate) fn path(text: &str) -> Result<Name, Expected> {
    let expected =
        "an absolute path without `?`, `//` and dot segments; `*` only as the last character";
    let literal = text.strip_suffix('*').unwrap_or(text);
    let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#' | '*' | '\\');
    match literal.strip_prefix('/') {
        Some(rest) if rest.chars().all(plain) && crate::route::is_canonical(literal) => {
            Ok(Name::new(text))
        }
        _ => Err(expected),
    }
}

/// Parses an RFC 3339 time that is not before 1970.
pub(crate) fn time(text: &str) -> Result<SystemTime, Expected> {
    let expected = "a time from 1970 on in RFC 3339, such as `2026-11-02T08:00:00Z`";
    let seconds = parse_all(instant, text, expected)?;
    let seconds = u64::try_from(seconds).map_err(|_| expected)?;
    Ok(UNIX_EPOCH + Duration::from_secs(seconds))
}

fn instant(input: &mut &str) -> Result<i64, ContextError> {
    let clock = (
        two_digits(0..=23),
        ":",
        two_digits(0..=59),
        ":",
        two_digits(0..=59),
    );
    let offset = alt(("Z".value(0), offset));
    let (day, _, (hours, _, minutes, _, seconds), offset) =
        (calendar_day, "T", clock, offset).parse_next(input)?;
    Ok(day * SECONDS_PER_DAY + hours * 3600 + minutes * 60 + seconds - offset)
}

fn offset(input: &mut &str) -> Result<i64, ContextError> {
    let sign = alt(("+".value(1), "-".value(-1)));
    let (sign, hours, _, minutes) =
        (sign, two_digits(0..=23), ":", two_digits(0..=59)).parse_next(input)?;
    Ok(sign * (hours * 3600 + minutes * 60))
}

fn two_digits<'a>(
    range: core::ops::RangeInclusive<i64>,
) -> impl Parser<&'a str, i64, ContextError> {
    take_while(2, |c: char| c.is_ascii_digit())
        .parse_to()
        .verify(move |value| range.contains(value))
}

/// Parses a Gregorian date and returns the number of days since 1970-01-01.
fn calendar_day(input: &mut &str) -> Result<i64, ContextError> {
    let year = take_while(4, |c: char| c.is_ascii_digit()).parse_to::<i64>();
    (year, "-", two_digits(1..=12), "-", two_digits(1..=31))
        .map(|(year, _, month, _, day)| (year, month, day))
        .verify(|&(year, month, day)| day <= days_in_month(year, month))
        .map(|(year, month, day)| days_from_epoch(year, month, day))
        .parse_next(input)
}

fn is_leap(year: i64) -> bool {
    year % 4 == 0 && (year % 100 != 0 || year % 400 == 0)
}

fn days_in_month(year: i64, month: i64) -> i64 {
    match month {
        2 if is_leap(year) => 29,
        2 => 28,
        4 | 6 | 9 | 11 => 30,
        _ => 31,
    }
}

fn days_from_epoch(year: i64, month: i64, day: i64) -> i64 {
    const EPOCH_DAYS: i64 = 719_162;
    let years_before = year - 1;
    let years = years_before * 365 + years_before / 4 - years_before / 100 + years_before / 400;
    let months: i64 = (1..month).map(|month| days_in_month(year, month)).sum();
    years + months + day - 1 - EPOCH_DAYS
}

/// Formats a time as RFC 3339 with a precision of one second.
pub fn format_time(time: SystemTime) -> String {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let seconds = i64::try_from(since.as_secs()).unwrap_or(i64::MAX);
    let (mut day, rest) = (seconds / SECONDS_PER_DAY, seconds % SECONDS_PER_DAY);
    let mut year = 1970;
    while day >= 365 + i64::from(is_leap(year)) {
        day -= 365 + i64::from(is_leap(year));
        year += 1;
    }
    let mut month = 1;
    while day >= days_in_month(year, month) {
        day -= days_in_month(year, month);
        month += 1;
    }
    let (hours, minutes, seconds) = (rest / 3600, rest / 60 % 60, rest % 60);
    let day = day + 1;
    format!("{year:04}-{month:02}-{day:02}T{hours:02}:{minutes:02}:{seconds:02}Z")
}

/// Formats a time as RFC 3339 with a precision of one millisecond.
pub fn format_instant(time: SystemTime) -> String {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let seconds = format_time(time);
    let seconds = seconds.trim_end_matches('Z');
    format!("{seconds}.{:03}Z", since.subsec_millis())
}

/// Formats a time limit in the largest unit that represents it exactly.
pub(crate) fn format_timeout(time: Duration) -> String {
    const UNITS: [(u128, &str); 3] = [(3_600_000, "h"), (60_000, "m"), (1_000, "s")];
    let millis = time.as_millis();
    let unit = UNITS.iter().find(|(unit, _)| millis.is_multiple_of(*unit));
    let (unit, suffix) = unit.unwrap_or(&(1, "ms"));
    format!("{}{suffix}", millis / unit)
}

/// Parses the requester of a rule from a comment: `# asked by: NAME[, date]`.
pub(crate) fn asker(comment: &str) -> Result<Name, Expected> {
    let expected =
        "a comment `# asked by: NAME` or `# asked by: NAME, DATE` with a date such as `2026-11-02`";
    let text = comment.trim_start_matches('#').trim();
    let text = text.strip_prefix("asked by:").ok_or(expected)?.trim();
    let (who, date) = parse_all(
        (
            take_while(1.., |c: char| c != ',' && !c.is_control()),
            opt(preceded((",", take_while(0.., ' ')), calendar_day)),
        ),
        text,
        expected,
    )?;
    let _: Option<i64> = date;
    match who.trim() {
        "" => Err(expected),
        _ => Ok(Name::new(text)),
    }
}
