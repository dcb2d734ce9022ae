//! Finds the route of a request.

use entity::{Now, Reason, Step};

use super::Filter;
use crate::exchange::{Exchange, Rejection};

/// Matches method and path against the routes of the rules.
#[derive(Clone, Copy, Debug)]
pub struct MatchRoute;

impl Filter for MatchRoute {
    fn apply(&self, now: Now, exchange: &mut Exchange) -> Result<(), Rejection> {
        let config = exchange.config.clone();
        let id = config
            .match_route(exchange.method.as_str(), exchange.uri.path())
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
