//! One request on its way through the filters.

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

/// A request and what the filters found out about it.
#[derive(Debug)]
pub struct Exchange {
    /// The request's id.
    pub request: RequestId,
    /// The configuration by which the request is treated to its end.
    pub config: Arc<Config>,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The team, once identified.
    pub team: Option<TeamId>,
    /// The route, once matched.
    pub route: Option<RouteId>,
    /// The key, if the request has one.
    pub key: Option<IdempotencyKey>,
    /// Whether the caller asks for a ticket instead of a run.
    pub is_ticket: bool,
    /// The decisions so far.
    pub decisions: Vec<Decision>,
}

impl Exchange {
    /// Records a decision about the request.
    pub fn decide(&mut self, at: SystemTime, step: Step, rules: &[RuleRef], detail: String) {
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

/// A filter's refusal; nothing was handed over.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Rejection {
    /// Why, and whether to try again.
    pub refusal: Refusal,
}

impl Rejection {
    /// A rejection that a repeat of the same request cannot change.
    pub fn for_good(reason: Reason) -> Self {
        Self {
            refusal: Refusal::new(reason, RetryAdvice::Never),
        }
    }
}
