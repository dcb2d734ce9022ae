//! Values of settings.

use std::net::SocketAddr;
use std::time::Duration;

use super::read::Expected;
use super::tree::Node;

/// The greatest length of a name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The greatest size that a setting may state, in bytes.
const MAX_SIZE_BYTES: usize = 1 << 40;

/// The greatest count that a setting may state.
const MAX_COUNT: usize = 1_000_000;

/// The greatest number of threads.
const MAX_THREADS: usize = 256;

/// Reads a name.
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

/// Reads an address to listen on; port 0 stands for any free port.
pub(crate) fn address(node: &Node) -> Result<SocketAddr, Expected> {
    let address = match node {
        Node::Text(text) => text.parse().ok(),
        _ => None,
    };
    address.ok_or_else(|| "an IP number and port, such as `10.0.0.7:7100`".to_owned())
}

/// Reads an address that other processes are told, so it must name one interface.
pub(crate) fn reachable(node: &Node) -> Result<SocketAddr, Expected> {
    match address(node)? {
        address if address.ip().is_unspecified() => {
            Err("the IP number by which other processes reach this one".to_owned())
        }
        address => Ok(address),
    }
}

/// Reads the base URL of an HTTP service; the result has no final `/`.
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
    let is_plain = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#');
    let is_valid = address.port() != 0 && path.chars().all(is_plain);
    is_valid.then(|| text.trim_end_matches('/').to_owned())
}

/// Reads a list of at least one base URL.
pub(crate) fn urls(node: &Node) -> Result<Vec<String>, Expected> {
    let expected = || "a list of URLs, such as `[http://10.0.0.9:8500]`".to_owned();
    match node {
        Node::List(items) if !items.is_empty() => {
            items.iter().map(|item| url(&item.value)).collect()
        }
        _ => Err(expected()),
    }
}

/// Reads a list of addresses of other processes.
pub(crate) fn peers(node: &Node) -> Result<Vec<SocketAddr>, Expected> {
    match node {
        Node::List(items) => items.iter().map(|item| reachable(&item.value)).collect(),
        _ => Err("a list of addresses, such as `[10.0.0.7:7101]`".to_owned()),
    }
}

/// Reads a time above 0 with its unit.
pub(crate) fn time(node: &Node) -> Result<Duration, Expected> {
    const UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1000), ("m", 60_000), ("h", 3_600_000)];
    let millis = match node {
        Node::Text(text) => scaled(text, &UNITS),
        _ => None,
    };
    let time = millis.filter(|&millis| millis > 0);
    time.map(Duration::from_millis).ok_or_else(|| {
        "a time above 0 with its unit, such as `500ms`, `10s`, `5m` or `1h`".to_owned()
    })
}

/// Reads a size in bytes.
pub(crate) fn size(node: &Node) -> Result<usize, Expected> {
    whole(node, 1, MAX_SIZE_BYTES)
}

/// Reads a count.
pub(crate) fn count(node: &Node) -> Result<usize, Expected> {
    whole(node, 1, MAX_COUNT)
}

/// Reads a number of at least 0, whole or not.
pub(crate) fn number(node: &Node) -> Result<f64, Expected> {
    let number = match node {
        Node::Integer(value) => Some(*value as f64),
        Node::Float(value) => Some(*value),
        _ => None,
    };
    number
        .filter(|number| number.is_finite() && *number >= 0.0)
        .ok_or_else(|| "a number of at least 0".to_owned())
}

/// Reads a number of threads.
pub(crate) fn threads(node: &Node) -> Result<usize, Expected> {
    whole(node, 1, MAX_THREADS)
}

fn whole(node: &Node, least: usize, greatest: usize) -> Result<usize, Expected> {
    let number = match node {
        Node::Integer(value) => usize::try_from(*value).ok(),
        _ => None,
    };
    number
        .filter(|number| (least..=greatest).contains(number))
        .ok_or_else(|| format!("a whole number from {least} to {greatest}"))
}

/// Reads a number followed by one of `units`.
fn scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let end = text.find(|c: char| !c.is_ascii_digit())?;
    let (digits, unit) = text.split_at(end);
    let unit = unit.trim_start();
    let (_, scale) = units.iter().find(|(name, _)| *name == unit)?;
    digits.parse::<u64>().ok()?.checked_mul(*scale)
}
