//! Identification of the team by the API key.

use entity::{Now, Reason, Step, TeamId};
use node::http::header_text;
use rules::{Config, KeyHash};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::Filter;
use crate::exchange::{Exchange, Rejection};

/// Identifies the team by `Authorization: Bearer`.
///
/// The rules contain only hashes of keys. The hash of the presented key selects
/// an entry, whose hash is compared in constant time, so that the response time
/// reveals nothing about a stored key.
#[derive(Clone, Copy, Debug)]
pub struct Identify;

impl Filter for Identify {
    fn apply(&self, now: Now, exchange: &mut Exchange) -> Result<(), Rejection> {
        let rejection = || Rejection::permanent(Reason::Unauthorized);
        let api_key = header_text(&exchange.headers, "authorization").and_then(bearer_token);
        let team = api_key.and_then(|key| team_of(&exchange.config, key));
        let team = team.ok_or_else(rejection)?;
        let rule = exchange.config.teams[team].as_ref().map(|team| team.rule);
        let name = exchange.config.names.teams.name(team).clone();
        exchange.team = Some(team);
        exchange.record(
            now.wall,
            Step::Identify,
            rule.as_slice(),
            format!("team {name}"),
        );
        Ok(())
    }
}

fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

fn team_of(config: &Config, key: &str) -> Option<TeamId> {
    let presented = KeyHash(Sha256::digest(key.as_bytes()).into());
    let (stored, &team) = config.keys.get_key_value(&presented)?;
    let is_equal: bool = stored.0.ct_eq(&presented.0).into();
    is_equal.then_some(team)
}
