//! The state of a request that passes the filter chain.

use std::sync::Arc;
use std::time::SystemTime;

use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use bytes::Bytes;
use entity::{
    Decision, IdempotencyKey, Reason, Refusal, RequestId, RetryAdvice, RouteId, RuleRef, Step,
    TeamId,
};
use rules::Config;

/// A request and the results of the filters.
#[derive(Debug)]
pub struct Exchange {
    /// The request's id.
    pub request: RequestId,
    /// The configuration that applies to the request until it ends.
    pub config: Arc<Config>,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The team, set by the filter [`Identify`](crate::filter::Identify).
    pub team: Option<TeamId>,
    /// The route, set by the filter [`MatchRoute`](crate::filter::MatchRoute).
    pub route: Option<RouteId>,
    /// The idempotency key, if the request has one.
    pub key: Option<IdempotencyKey>,
    /// Whether the caller requests a ticket instead of a run.
    pub is_ticket: bool,
    /// The decisions of the filters so far.
    pub decisions: Vec<Decision>,
}

impl Exchange {
    /// Records a decision about the request.
    pub fn record(&mut self, at: SystemTime, step: Step, rules: &[RuleRef], detail: String) {
        let request = self.request;
        let rules = rules.to_vec();
        self.decisions.push(Decision {
            request,
            at,
            step,
            rules,
            detail,
        });
    }
}

/// A filter's rejection of a request; nothing was sent to an agent.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Rejection {
    /// The reason and the advice for retries.
    pub refusal: Refusal,
}

impl Rejection {
    /// Creates a rejection that applies to every retry of the same request.
    pub fn permanent(reason: Reason) -> Self {
        Self {
            refusal: Refusal::new(reason, RetryAdvice::Never),
        }
    }
}
