//! Parsers of setting values.

use std::net::SocketAddr;
use std::time::Duration;

use super::read::Expected;
use super::tree::Node;

/// Maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Maximum value of a size setting, in bytes.
const MAX_SIZE_BYTES: usize = 1 << 40;

/// Maximum value of a count setting.
const MAX_COUNT: usize = 1_000_000;

/// Maximum number of threads.
const MAX_THREADS: usize = 256;

/// Parses a name.
pub(crate) fn name(node: &Node) -> Result<String, Expected> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    match node {
        Node::Text(text)
            if (1..=MAX_NAME_BYTES).contains(&text.len())
                && text.chars().all(is_allowed)
                && text.starts_with(|c: char| c.is_ascii_alphanumeric()) =>
        {
            Ok(text.clone())
        }
        _ => Err("a name of at most 64 letters, digits, `.`, `_` and `-`".to_owned()),
    }
}

/// Parses a listen address; port 0 selects any free port.
pub(crate) fn address(node: &Node) -> Result<SocketAddr, Expected> {
    let address = match node {
        Node::Text(text) => text.parse().ok(),
        _ => None,
    };
    address.ok_or_else(|| "an IP number and port, such as `10.0.0.7:7100`".to_owned())
}

/// Parses an address that is advertised to other processes, so it must not be the
/// unspecified address.
pub(crate) fn advertised_address(node: &Node) -> Result<SocketAddr, Expected> {
    match address(node)? {
        address if address.ip().is_unspecified() => {
            Err("the IP number by which other processes reach this one".to_owned())
        }
        address => Ok(address),
    }
}

/// Parses the base URL of an HTTP service; the result has no trailing `/`.
pub(crate) fn url(node: &Node) -> Result<String, Expected> {
    let url = match node {
        Node::Text(text) => base_url(text),
        _ => None,
    };
    url.ok_or_else(|| "a URL with an IP number and port, such as `http://10.0.0.9:8500`".to_owned())
}

fn base_url(text: &str) -> Option<String> {
    let rest = text.strip_prefix("http://")?;
    let (authority, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let address: SocketAddr = authority.parse().ok()?;
    let is_path_char = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#');
    let is_valid = address.port() != 0 && path.chars().all(is_path_char);
    is_valid.then(|| text.trim_end_matches('/').to_owned())
}

/// Parses a non-empty list of base URLs.
pub(crate) fn urls(node: &Node) -> Result<Vec<String>, Expected> {
    let not_a_list = || "a list of URLs, such as `[http://10.0.0.9:8500]`".to_owned();
    match node {
        Node::List(items) if !items.is_empty() => {
            items.iter().map(|item| url(&item.value)).collect()
        }
        _ => Err(not_a_list()),
    }
}

/// Parses a list of addresses of other processes.
pub(crate) fn peers(node: &Node) -> Result<Vec<SocketAddr>, Expected> {
    match node {
        Node::List(items) => items
            .iter()
            .map(|item| advertised_address(&item.value))
            .collect(),
        _ => Err("a list of addresses, such as `[10.0.0.7:7101]`".to_owned()),
    }
}

/// Parses a duration above 0 with its unit.
pub(crate) fn duration(node: &Node) -> Result<Duration, Expected> {
    const UNITS: [(&str, f64); 4] = [("ms", 1e-3), ("s", 1.0), ("m", 60.0), ("h", 3600.0)];
    let seconds = match node {
        Node::Text(text) => parse_with_unit(text, &UNITS),
        _ => None,
    };
    let duration = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let duration = duration.filter(|duration| !duration.is_zero());
    duration.ok_or_else(|| {
        "a time above 0 with its unit, such as `500ms`, `10s`, `5m` or `1h`".to_owned()
    })
}

/// Parses a size in bytes.
pub(crate) fn size(node: &Node) -> Result<usize, Expected> {
    integer_in_range(node, 1, MAX_SIZE_BYTES)
}

/// Parses a count.
pub(crate) fn count(node: &Node) -> Result<usize, Expected> {
    integer_in_range(node, 1, MAX_COUNT)
}

/// Parses an integer or floating-point number of at least 0.
pub(crate) fn non_negative(node: &Node) -> Result<f64, Expected> {
    let number = match node {
        Node::Integer(value) => Some(*value as f64),
        Node::Float(value) => Some(*value),
        _ => None,
    };
    number
        .filter(|number| number.is_finite() && *number >= 0.0)
        .ok_or_else(|| "a number of at least 0".to_owned())
}

/// Parses whether something is turned on.
pub(crate) fn boolean(node: &Node) -> Result<bool, Expected> {
    match node {
        Node::Bool(value) => Ok(*value),
        _ => Err("`true` or `false`".to_owned()),
    }
}

/// Parses a number of threads.
pub(crate) fn threads(node: &Node) -> Result<usize, Expected> {
    integer_in_range(node, 1, MAX_THREADS)
}

fn integer_in_range(node: &Node, min: usize, max: usize) -> Result<usize, Expected> {
    let number = match node {
        Node::Integer(value) => usize::try_from(*value).ok(),
        _ => None,
    };
    number
        .filter(|number| (min..=max).contains(number))
        .ok_or_else(|| format!("a whole number from {min} to {max}"))
}

/// Parses a decimal number followed by one of `units` and scales it by the unit.
fn parse_with_unit(text: &str, units: &[(&str, f64)]) -> Option<f64> {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(end);
    let unit = unit.trim_start();
    let (_, scale) = units.iter().find(|(name, _)| *name == unit)?;
    let starts_and_ends_with_digits =
        !number.starts_with('.') && !number.ends_with('.') && !number.is_empty();
    let number: f64 = number
        .parse()
        .ok()
        .filter(|_| starts_and_ends_with_digits)?;
    Some(number * scale)
}
