//! The first filters of a request: which route, team and service it belongs to.
//!
//! Invariant: a request is judged by the configuration in force at that moment;
//! one that waits is judged again right before it is sent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, StatusCode};
use bytes::Bytes;
use derive_more::Display;
use entity::{Fingerprint, Name};
use platform::attempt::forwarded_headers;
use platform::caller::{self, ApiKey, CallerHeaders};
use policy::direct::config::{Config, RetryPolicy, RouteIndex, TeamIndex};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use crate::caller::ReceivedRequest;
use crate::clock::{BootClock, SystemBootClock};
use crate::shared::Shared;

/// When callers come back that were refused for want of a confirmed configuration.
const UNCONFIRMED_RETRY: Duration = Duration::from_millis(500);

/// A caller's request, as it was read.
#[derive(Debug)]
pub(crate) struct Order {
    pub(crate) stated: CallerHeaders,
    pub(crate) host: String,
    pub(crate) method: actix_http::Method,
    pub(crate) uri: actix_http::Uri,
    /// The headers that go on to any target.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) since: Instant,
    /// The key, which is secret.
    key: CallerKey,
    /// What identifies equal requests of one caller, whatever their ids.
    pub(crate) fingerprint: Fingerprint,
}

#[derive(Clone, PartialEq, Eq, Debug)]
enum CallerKey {
    Missing,
    Unreadable,
    Stated(Name),
}

/// The short form of a fingerprint.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display)]
#[display("{_0:08x}")]
pub(crate) struct WorkTag(u32);

/// What one configuration says of an order.
#[derive(Clone, Debug)]
pub(crate) struct Entitled {
    pub(crate) config: Arc<Config>,
    pub(crate) route: RouteIndex,
    pub(crate) team: Option<TeamIndex>,
    pub(crate) service: Name,
}

/// An answer of the system itself in place of a target's.
#[derive(Clone, Copy, PartialEq, Debug, Display)]
#[display("{why}")]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) why: &'static str,
    pub(crate) retry: Option<Duration>,
    /// The factor of the wait that the team was allowed, where that decided.
    pub(crate) favour: Option<f64>,
}

impl Refusal {
    pub(crate) fn new(status: StatusCode, why: &'static str) -> Self {
        Self {
            status,
            why,
            retry: None,
            favour: None,
        }
    }

    /// The request has not run and may come back after `retry`.
    pub(crate) fn not_run(why: &'static str, retry: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            why,
            retry: Some(retry),
            favour: None,
        }
    }

    /// The request may have run.
    pub(crate) fn unclear(why: &'static str) -> Self {
        Self::new(StatusCode::BAD_GATEWAY, why)
    }
}

impl Order {
    pub(crate) fn new(incoming: ReceivedRequest) -> Self {
        let ReceivedRequest {
            head,
            body,
            received_at: since,
        } = incoming;
        let headers = head.headers();
        let host = headers.get(actix_http::header::HOST);
        let host = host.and_then(|host| host.to_str().ok());
        let host = host.or_else(|| head.uri().host()).unwrap_or_default();
        let key = match caller::api_key(headers) {
            ApiKey::Missing => CallerKey::Missing,
            ApiKey::Unreadable => CallerKey::Unreadable,
            ApiKey::Stated(key) => CallerKey::Stated(Name::new(key)),
        };
        let fingerprint = fingerprint(head.method(), host, head.uri(), &key, &body);
        Self {
            stated: caller::parse_headers(headers),
            host: host.to_owned(),
            method: head.method().clone(),
            uri: head.uri().clone(),
            headers: forwarded_headers(headers),
            body,
            since,
            key,
            fingerprint,
        }
    }

    /// A short form of the fingerprint, by which logs name all attempts of a caller.
    pub(crate) fn work(&self) -> WorkTag {
        WorkTag(self.fingerprint.0 as u32)
    }

    /// Judges the order by the configuration in force.
    pub(crate) fn entitle(&self, shared: &Shared) -> Result<Entitled, Refusal> {
        let Some(config) = shared.config.load_full() else {
            return Err(Refusal::not_run("no configuration", UNCONFIRMED_RETRY));
        };
        let path = self.uri.path();
        let Some(index) = config.route(&self.host, path) else {
            return Err(Refusal::new(StatusCode::NOT_FOUND, "no route"));
        };
        let route = config.route_at(index);
        let team = match &self.key {
            _ if route.is_public || !config.has_teams() => None,
            CallerKey::Missing => {
                return Err(Refusal::new(StatusCode::UNAUTHORIZED, "no key"));
            }
            CallerKey::Unreadable => {
                return Err(Refusal::new(StatusCode::UNAUTHORIZED, "unreadable key"));
            }
            CallerKey::Stated(_) if !is_confirmed(shared) => {
                return Err(Refusal::not_run(
                    "configuration not confirmed",
                    UNCONFIRMED_RETRY,
                ));
            }
            CallerKey::Stated(key) => match config.team(key.as_str()) {
                Some(team) => Some(team),
                None => return Err(Refusal::new(StatusCode::UNAUTHORIZED, "unknown key")),
            },
        };
        let service = route.service(xxh3_64(self.stated.id.as_bytes())).clone();
        Ok(Entitled {
            route: index,
            team,
            service,
            config,
        })
    }

    /// The time until which the caller waits, and until which its route lets it wait.
    pub(crate) fn limit(&self, timeout: Duration) -> Instant {
        let wait = self
            .stated
            .deadline
            .map_or(timeout, |deadline| deadline.min(timeout));
        self.since + wait
    }

    /// The time that is left for a target.
    pub(crate) fn left(&self, timeout: Duration, now: Instant) -> Duration {
        self.limit(timeout).saturating_duration_since(now)
    }
}

impl Entitled {
    pub(crate) fn repeat(&self) -> RetryPolicy {
        self.config.route_at(self.route).retry_policy
    }

    /// A label of the kind of request for metrics.
    pub(crate) fn kind(&self) -> &'static str {
        match self.repeat() {
            RetryPolicy::Idempotent => "safe",
            RetryPolicy::Never => "unsafe",
            RetryPolicy::Stream { resumable: true } => "resumable",
            RetryPolicy::Stream { resumable: false } => "stream",
        }
    }

    /// The name of the team.
    pub(crate) fn team_name(&self) -> Option<&Name> {
        self.team.map(|team| &self.config.team_at(team).name)
    }
}

/// What identifies equal requests of one caller, whatever their ids.
fn fingerprint(
    method: &actix_http::Method,
    host: &str,
    uri: &actix_http::Uri,
    key: &CallerKey,
    body: &[u8],
) -> Fingerprint {
    let key = match key {
        CallerKey::Stated(key) => key.as_str(),
        CallerKey::Missing | CallerKey::Unreadable => "",
    };
    let mut bytes = format!("{method} {host}{uri} {key}\n").into_bytes();
    bytes.extend_from_slice(body);
    Fingerprint(xxh3_128(&bytes))
}

fn is_confirmed(shared: &Shared) -> bool {
    shared.confirmation().allows_keys(SystemBootClock.uptime())
}
