//! Parsing of the idempotency key.

use entity::{Now, Reason, Step};
use node::http::header_text;
use rules::Repeat;

use super::Filter;
use crate::exchange::{Exchange, Rejection};

/// The header that carries the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Parses `Idempotency-Key` on routes whose requests run at most once.
///
/// A request without a key is accepted; the router issues a ticket for it.
#[derive(Clone, Copy, Debug)]
pub struct ParseKey;

impl Filter for ParseKey {
    fn apply(&self, now: Now, exchange: &mut Exchange) -> Result<(), Rejection> {
        let route = exchange
            .route
            .and_then(|route| exchange.config.routes[route].as_ref());
        let runs_once = route.is_some_and(|route| route.repeat == Repeat::Once);
        let text = header_text(&exchange.headers, KEY_HEADER);
        let key = match text {
            Some(text) if runs_once => text
                .parse()
                .map_err(|_| Rejection::permanent(Reason::KeyMalformed))?,
            _ => return Ok(()),
        };
        exchange.key = Some(key);
        exchange.record(now.wall, Step::Once, &[], format!("key {key}"));
        Ok(())
    }
}
