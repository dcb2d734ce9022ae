//! Finds the route of a request.

use actix_http::Method;
use entity::{Now, Reason, Step};

use super::Filter;
use crate::exchange::{Exchange, Rejection};

/// The path under which callers get tickets: `POST /v1/tickets?method=POST&path=/v1/bookings`.
const TICKETS: &str = "/v1/tickets";

/// Matches method and path against the routes of the rules.
#[derive(Clone, Copy, Debug)]
pub struct MatchRoute;

impl Filter for MatchRoute {
    fn apply(&self, now: Now, exchange: &mut Exchange) -> Result<(), Rejection> {
        let config = exchange.config.clone();
        let wanted = wanted(exchange);
        exchange.is_ticket = wanted.is_ticket;
        let id = config
            .match_route(&wanted.method, &wanted.path)
            .ok_or_else(|| Rejection::for_good(Reason::NoRoute))?;
        let route = config.routes[id]
            .as_ref()
            .expect("a matched route is in the table");
        let pool = config.names.pools.name(route.pool);
        let detail = format!("route {} to pool {pool}", config.names.routes.name(id));
        exchange.route = Some(id);
        exchange.decide(now.wall, Step::Match, &[route.rule], detail);
        Ok(())
    }
}

/// The method and path that a request is about.
struct Wanted {
    method: String,
    path: String,
    is_ticket: bool,
}

/// The route that a request is for; one for a ticket names another route in its query.
fn wanted(exchange: &Exchange) -> Wanted {
    let uri = &exchange.uri;
    let is_ticket = exchange.method == Method::POST && uri.path() == TICKETS;
    let field = |name: &str| {
        let query = uri.query().filter(|_| is_ticket)?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        let (_, value) = fields.find(|(key, _)| *key == name)?;
        Some(value.to_owned())
    };
    Wanted {
        method: field("method").unwrap_or_else(|| exchange.method.to_string()),
        path: field("path").unwrap_or_else(|| uri.path().to_owned()),
        is_ticket,
    }
}
