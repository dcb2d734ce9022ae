//! Reads the idempotency key.

use entity::{Now, Reason, Step};
use node::http::header_text;
use rules::Repeat;

use super::Filter;
use crate::exchange::{Exchange, Rejection};

/// The header that carries the key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Reads `Idempotency-Key` on routes that run at most once.
///
/// A request without a key passes; the router mints a ticket for it.
#[derive(Clone, Copy, Debug)]
pub struct ReadKey;

impl Filter for ReadKey {
    fn apply(&self, now: Now, exchange: &mut Exchange) -> Result<(), Rejection> {
        let route = exchange
            .route
            .and_then(|route| exchange.config.routes[route].as_ref());
        let once = route.is_some_and(|route| route.repeat == Repeat::Once);
        let text = header_text(&exchange.headers, KEY_HEADER);
        let key = match text {
            Some(text) if once => text
                .parse()
                .map_err(|_| Rejection::for_good(Reason::KeyMalformed))?,
            _ => return Ok(()),
        };
        exchange.key = Some(key);
        exchange.decide(now.wall, Step::Once, &[], format!("key {key}"));
        Ok(())
    }
}
