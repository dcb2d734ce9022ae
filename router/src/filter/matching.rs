//! Matching of requests to routes.

use actix_http::Method;
use entity::{Now, Reason, Step};

use super::Filter;
use crate::exchange::{Exchange, Rejection};

/// The path for ticket requests, for example `POST /v1/tickets?method=POST&path=/v1/bookings`.
const TICKET_PATH: &str = "/v1/tickets";

/// Matches the method and path against the routes in the rules.
#[derive(Clone, Copy, Debug)]
pub struct MatchRoute;

impl Filter for MatchRoute {
    fn apply(&self, now: Now, exchange: &mut Exchange) -> Result<(), Rejection> {
        let config = exchange.config.clone();
        let requested = requested_route(exchange);
        exchange.is_ticket = requested.is_ticket;
        let id = config
            .match_route(&requested.method, &requested.path)
            .ok_or_else(|| Rejection::permanent(Reason::NoRoute))?;
        let route = config.routes[id]
            .as_ref()
            .expect("a matched route is in the route table");
        let pool = config.names.pools.name(route.pool);
        let detail = format!("route {} to pool {pool}", config.names.routes.name(id));
        exchange.route = Some(id);
        exchange.record(now.wall, Step::Match, &[route.rule], detail);
        Ok(())
    }
}

/// The method and path that select the route of a request.
struct RequestedRoute {
    method: String,
    path: String,
    is_ticket: bool,
}

/// Returns the method and path to match; a ticket request names them in its query.
fn requested_route(exchange: &Exchange) -> RequestedRoute {
    let uri = &exchange.uri;
    let is_ticket = exchange.method == Method::POST && uri.path() == TICKET_PATH;
    let query_field = |name: &str| {
        let query = uri.query().filter(|_| is_ticket)?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        let (_, value) = fields.find(|(key, _)| *key == name)?;
        Some(value.to_owned())
    };
    RequestedRoute {
        method: query_field("method").unwrap_or_else(|| exchange.method.to_string()),
        path: query_field("path").unwrap_or_else(|| uri.path().to_owned()),
        is_ticket,
    }
}
