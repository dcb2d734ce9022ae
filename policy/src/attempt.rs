//! The attempts of the requests that a router holds.
//!
//! The router calls [`Attempts::admit`] when a request is admitted,
//! [`Attempts::start`] right before it sends an attempt, [`Attempts::accepts`]
//! for each response head, and [`Attempts::record_end`] when the relay reports the end
//! of an attempt. [`Attempts::refuse`] ends a request that has no attempt in
//! flight, [`Attempts::expire`] one whose deadline passed, in any
//! state; [`Attempts::drop_request`] drops one whose caller disconnected.
//!
//! Invariants:
//! - A request has at most one attempt in flight.
//! - A request that may run at most once is not sent again after bytes of it may
//!   have been sent, unless the agent that received it passed nothing to its target.
//! - No attempt starts after a byte of a response was sent to the caller.
//! - `NotRun` is reported only if no attempt may have run and no earlier request
//!   can have used the key.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use entity::{
    AttemptId, Now, Outcome, Reason, Refusal, RequestId, RetryAdvice, SendPermit, Sent, TargetId,
    TeamId,
};
use smallvec::SmallVec;

use crate::AttemptResult;
use crate::retry::{RetryBudget, RetrySettings};

/// The retry delay advised to callers when no better estimate exists.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Whether and under which key a request may be sent again.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Delivery {
    /// The request is idempotent.
    Repeatable,
    /// At most once, under a ticket that the router issued for this request.
    OnceIssued,
    /// At most once, under a key that came with the request and that an earlier
    /// request may have used.
    OnceSupplied,
}

/// The properties of a request at admission.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RequestSpec {
    /// The request.
    pub request: RequestId,
    /// Its team.
    pub team: TeamId,
    /// Whether it may be sent again.
    pub delivery: Delivery,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// What the router does with a request after the end of an attempt.
#[derive(Clone, PartialEq, Debug)]
pub enum NextStep {
    /// The attempt is not in flight; its reply is dropped.
    Ignore,
    /// The attempt did not run: queue the request again.
    Requeue,
    /// Send another attempt.
    Retry {
        /// The earliest time of the attempt.
        after: Instant,
        /// Targets to avoid, if there are others.
        avoid: SmallVec<[TargetId; 4]>,
    },
    /// The request has ended.
    Finish(Outcome),
}

/// The result of expiring a request at its deadline.
#[derive(Clone, PartialEq, Debug)]
pub struct Expiry {
    /// The attempt to cancel, if one is in flight.
    pub cancel: Option<AttemptId>,
    /// The outcome of the request.
    pub outcome: Outcome,
}

/// Counters of attempts.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct AttemptCounts {
    /// Attempts started.
    pub started: u64,
    /// Retries, which are charged to the retry budget.
    pub retried: u64,
    /// Replies and ends that matched no attempt in flight.
    pub mismatched: u64,
}

#[derive(Debug)]
struct RequestState {
    spec: RequestSpec,
    next_number: u16,
    retries: u16,
    in_flight: Option<(u16, Sent)>,
    tried_targets: SmallVec<[TargetId; 4]>,
    ran: bool,
}

/// The attempts of one router's requests.
#[derive(Debug)]
pub struct Attempts {
    requests: BTreeMap<RequestId, RequestState>,
    budget: RetryBudget,
    counts: AttemptCounts,
}

impl Attempts {
    /// Creates the state of a router without requests.
    pub fn new(settings: RetrySettings, seed: u64) -> Self {
        Self {
            requests: BTreeMap::new(),
            budget: RetryBudget::new(settings, seed),
            counts: AttemptCounts::default(),
        }
    }

    /// The counts so far.
    pub fn counts(&self) -> AttemptCounts {
        self.counts
    }

    /// Admits a request.
    pub fn admit(&mut self, spec: RequestSpec) {
        self.budget.record_arrival(spec.team);
        let state = RequestState {
            spec,
            next_number: 0,
            retries: 0,
            in_flight: None,
            tried_targets: SmallVec::new(),
            ran: false,
        };
        let earlier = self.requests.insert(spec.request, state);
        debug_assert!(earlier.is_none(), "request ids are unique");
    }

    /// Starts an attempt on `target`; the caller may send bytes of it from now on.
    ///
    /// `None` if the request has ended, has an attempt in flight, or its deadline passed.
    pub fn start(&mut self, now: Now, request: RequestId, target: TargetId) -> Option<AttemptId> {
        let state = self.requests.get_mut(&request)?;
        if state.in_flight.is_some() || now.mono >= state.spec.deadline {
            return None;
        }
        let number = state.next_number;
        state.next_number = number.checked_add(1)?;
        state.in_flight = Some((number, SendPermit::new().begin()));
        state.tried_targets.push(target);
        self.counts.started += 1;
        Some(AttemptId { request, number })
    }

    /// Whether a reply that names `attempt` may be relayed; counts it as mismatched if not.
    pub fn accepts(&mut self, attempt: AttemptId) -> bool {
        let state = self.requests.get(&attempt.request);
        let in_flight = state.and_then(|state| state.in_flight.as_ref());
        let matches = in_flight.is_some_and(|(number, _)| *number == attempt.number);
        self.counts.mismatched += u64::from(!matches);
        matches
    }

    /// Decides what follows the end of an attempt.
    pub fn record_end(&mut self, now: Now, attempt: AttemptId, result: AttemptResult) -> NextStep {
        if !self.accepts(attempt) {
            return NextStep::Ignore;
        }
        let request = attempt.request;
        let mut state = self.requests.remove(&request).expect("attempt in flight");
        let (_, sent) = state.in_flight.take().expect("attempt in flight");
        let late = now.mono >= state.spec.deadline;
        let repeatable = state.spec.delivery == Delivery::Repeatable;
        let next = match result {
            AttemptResult::Answered { cost } => NextStep::Finish(Outcome::Answered { cost }),
            AttemptResult::NotRun(refusal)
                if !late && should_requeue(&refusal, state.spec.delivery) =>
            {
                NextStep::Requeue
            }
            // The ticket was issued for this request and names an earlier incarnation of the
            // agent, which never received it; the current one did not start it.
            AttemptResult::Unknown(refusal)
                if !late
                    && state.spec.delivery == Delivery::OnceIssued
                    && refusal.reason == Reason::KeyNotCovered =>
            {
                NextStep::Requeue
            }
            AttemptResult::NotRun(refusal) => {
                NextStep::Finish(state.not_run_outcome(sent, refusal))
            }
            AttemptResult::Unsent if repeatable => {
                let refusal = Refusal::new(Reason::NoTarget, RetryAdvice::After(RETRY_DELAY));
                let fallback = state.not_run_outcome(sent, refusal);
                self.retry_or_finish(now, &mut state, fallback)
            }
            AttemptResult::Unsent => NextStep::Finish(state.unreachable_outcome(sent)),
            AttemptResult::Unknown(refusal) if repeatable => {
                state.ran = true;
                self.retry_or_finish(now, &mut state, Outcome::Unknown { refusal })
            }
            AttemptResult::Unknown(refusal) => NextStep::Finish(Outcome::Unknown { refusal }),
            AttemptResult::Broken { delivered: false } if repeatable => {
                state.ran = true;
                let retry = RetryAdvice::After(RETRY_DELAY);
                let refusal = Refusal::new(Reason::ConnectionLost, retry);
                self.retry_or_finish(now, &mut state, Outcome::Unknown { refusal })
            }
            AttemptResult::Broken { .. } => {
                let retry = match repeatable {
                    true => RetryAdvice::After(RETRY_DELAY),
                    false => RetryAdvice::VerifyFirst,
                };
                let refusal = Refusal::new(Reason::ConnectionLost, retry);
                NextStep::Finish(Outcome::Unknown { refusal })
            }
        };
        if !matches!(next, NextStep::Finish(_)) {
            self.requests.insert(request, state);
        }
        next
    }

    /// Ends a request that has no attempt in flight; `None` if it has one or has ended.
    pub fn refuse(&mut self, request: RequestId, refusal: Refusal) -> Option<Outcome> {
        let state = self.requests.get(&request)?;
        if state.in_flight.is_some() {
            return None;
        }
        let state = self.requests.remove(&request)?;
        Some(state.refused_outcome(refusal))
    }

    /// Ends a request whose deadline passed; `None` if it has ended.
    pub fn expire(&mut self, request: RequestId) -> Option<Expiry> {
        let state = self.requests.remove(&request)?;
        let in_flight = state.in_flight.as_ref();
        let cancel = in_flight.map(|&(number, _)| AttemptId { request, number });
        let retry = match state.spec.delivery {
            Delivery::OnceIssued if cancel.is_some() => RetryAdvice::VerifyFirst,
            _ => RetryAdvice::After(RETRY_DELAY),
        };
        let refusal = Refusal::new(Reason::DeadlinePassed, retry);
        let outcome = match cancel {
            Some(_) => Outcome::Unknown { refusal },
            None => state.refused_outcome(refusal),
        };
        Some(Expiry { cancel, outcome })
    }

    /// Drops a request whose caller disconnected; returns the attempt to cancel.
    pub fn drop_request(&mut self, request: RequestId) -> Option<AttemptId> {
        let state = self.requests.remove(&request)?;
        let (number, _) = state.in_flight?;
        Some(AttemptId { request, number })
    }

    /// Schedules a retry if the limits allow it; otherwise ends the request with `fallback`.
    fn retry_or_finish(
        &mut self,
        now: Now,
        state: &mut RequestState,
        fallback: Outcome,
    ) -> NextStep {
        let settings = self.budget.settings();
        let after = now.mono + self.budget.delay(state.retries + 1);
        let may_retry = state.retries + 1 < settings.max_attempts && after < state.spec.deadline;
        if !may_retry {
            return NextStep::Finish(fallback);
        }
        if !self.budget.try_spend(state.spec.team) {
            return NextStep::Finish(retry_budget_exhausted(&fallback));
        }
        state.retries += 1;
        self.counts.retried += 1;
        NextStep::Retry {
            after,
            avoid: state.tried_targets.clone(),
        }
    }
}

impl RequestState {
    /// Whether an earlier attempt, or an earlier request with the same key, may have run.
    fn may_have_run(&self) -> bool {
        self.ran || self.spec.delivery == Delivery::OnceSupplied
    }

    /// The outcome of a request that is not sent again and has no attempt in flight.
    fn refused_outcome(&self, refusal: Refusal) -> Outcome {
        match self.may_have_run() {
            true => Outcome::Unknown { refusal },
            false => Outcome::NotRun {
                refusal,
                proof: SendPermit::new().cancel(),
            },
        }
    }

    /// The outcome after the agent reported that the attempt in flight did not run.
    fn not_run_outcome(&self, sent: Sent, refusal: Refusal) -> Outcome {
        match self.ran {
            true => Outcome::Unknown { refusal },
            false => Outcome::NotRun {
                refusal,
                proof: sent.rejected_unsent(),
            },
        }
    }

    /// The outcome if the only agent that may run the key cannot be reached.
    fn unreachable_outcome(&self, sent: Sent) -> Outcome {
        let refusal = Refusal::new(Reason::HomeUnreachable, RetryAdvice::After(RETRY_DELAY));
        match self.may_have_run() {
            true => Outcome::Unknown { refusal },
            false => self.not_run_outcome(sent, refusal),
        }
    }
}

/// Whether a request that did not run waits for another slot instead of ending.
///
/// A supplied key cannot move to another target. A ticket that was issued for the request
/// and not started by its agent is replaced by a new one.
fn should_requeue(refusal: &Refusal, delivery: Delivery) -> bool {
    match refusal.reason {
        Reason::NoSlot => true,
        Reason::Draining | Reason::Stopping | Reason::NotConfigured | Reason::NoTarget => {
            delivery != Delivery::OnceSupplied
        }
        Reason::HandOverLate => true,
        _ => false,
    }
}

fn retry_budget_exhausted(outcome: &Outcome) -> Outcome {
    let refusal = Refusal::new(Reason::RetryBudget, RetryAdvice::After(RETRY_DELAY));
    match outcome {
        Outcome::NotRun { proof, .. } => Outcome::NotRun {
            refusal,
            proof: *proof,
        },
        _ => Outcome::Unknown { refusal },
    }
}
