//! The attempts of the requests that a router holds.
//!
//! The router calls [`Attempts::open`] when a request is admitted,
//! [`Attempts::start`] right before it sends an attempt, [`Attempts::accepts`]
//! for each response head, and [`Attempts::ended`] when the relay reports the end
//! of an attempt. [`Attempts::refuse`] ends a request that has no attempt in
//! flight, [`Attempts::expire`] one whose deadline passed in any state;
//! [`Attempts::gone`] drops one whose caller left.
//!
//! Invariants:
//! - A request has at most one attempt in flight.
//! - A request that may run at most once is not sent again after bytes of it may
//!   have left, unless the agent that received it handed nothing over.
//! - No attempt starts after a byte of an answer went to the caller.
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

/// How long a caller waits if nothing better is known.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Whether and under which key a request may be sent again.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Delivery {
    /// Idempotent.
    Repeatable,
    /// At most once, under a ticket that was minted for this very request.
    OnceMinted,
    /// At most once, under a key that came with the request and that an earlier
    /// request may have used.
    OnceSupplied,
}

/// What the router knows of a request when it is admitted.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Plan {
    /// The request.
    pub request: RequestId,
    /// Its team.
    pub team: TeamId,
    /// Whether it may be sent again.
    pub delivery: Delivery,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// What becomes of a request after an attempt ended.
#[derive(Clone, PartialEq, Debug)]
pub enum Next {
    /// The attempt is not in flight; its answer is dropped.
    Ignore,
    /// Nothing ran for want of a slot: the request waits for another slot.
    Requeue,
    /// Send another attempt.
    Retry {
        /// The earliest time.
        after: Instant,
        /// Targets to avoid, if there are others.
        avoid: SmallVec<[TargetId; 4]>,
    },
    /// The request has ended.
    Finish(Outcome),
}

/// The end of a request whose deadline passed.
#[derive(Clone, PartialEq, Debug)]
pub struct Expiry {
    /// The attempt to cancel, if one is in flight.
    pub cancel: Option<AttemptId>,
    /// The ending.
    pub outcome: Outcome,
}

/// Counts of what attempts did.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct AttemptCounts {
    /// Attempts started.
    pub started: u64,
    /// Attempts that repeat an earlier one at the price of the retry budget.
    pub retried: u64,
    /// Replies and ends that did not belong to an attempt in flight.
    pub mismatched: u64,
}

#[derive(Debug)]
struct Progress {
    plan: Plan,
    next: u16,
    retries: u16,
    flight: Option<(u16, Sent)>,
    tried: SmallVec<[TargetId; 4]>,
    ran: bool,
}

/// The attempts of one router's requests.
#[derive(Debug)]
pub struct Attempts {
    requests: BTreeMap<RequestId, Progress>,
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
    pub fn open(&mut self, plan: Plan) {
        self.budget.arrived(plan.team);
        let progress = Progress {
            plan,
            next: 0,
            retries: 0,
            flight: None,
            tried: SmallVec::new(),
            ran: false,
        };
        let earlier = self.requests.insert(plan.request, progress);
        debug_assert!(earlier.is_none(), "request ids are unique");
    }

    /// Starts an attempt on `target`; bytes of it may leave from now on.
    ///
    /// `None` if the request has ended, has an attempt in flight, or its deadline passed.
    pub fn start(&mut self, now: Now, request: RequestId, target: TargetId) -> Option<AttemptId> {
        let progress = self.requests.get_mut(&request)?;
        if progress.flight.is_some() || now.mono >= progress.plan.deadline {
            return None;
        }
        let number = progress.next;
        progress.next = number.checked_add(1)?;
        progress.flight = Some((number, SendPermit::new().begin()));
        progress.tried.push(target);
        self.counts.started += 1;
        Some(AttemptId { request, number })
    }

    /// Whether a reply that names `attempt` may be relayed; counts it if not.
    pub fn accepts(&mut self, attempt: AttemptId) -> bool {
        let progress = self.requests.get(&attempt.request);
        let flight = progress.and_then(|progress| progress.flight.as_ref());
        let matches = flight.is_some_and(|(number, _)| *number == attempt.number);
        self.counts.mismatched += u64::from(!matches);
        matches
    }

    /// Decides what follows the end of an attempt.
    pub fn ended(&mut self, now: Now, attempt: AttemptId, result: AttemptResult) -> Next {
        if !self.accepts(attempt) {
            return Next::Ignore;
        }
        let request = attempt.request;
        let mut progress = self.requests.remove(&request).expect("attempt in flight");
        let (_, sent) = progress.flight.take().expect("attempt in flight");
        let late = now.mono >= progress.plan.deadline;
        let repeatable = progress.plan.delivery == Delivery::Repeatable;
        let next = match result {
            AttemptResult::Answered { cost } => Next::Finish(Outcome::Answered { cost }),
            AttemptResult::NotRun(refusal)
                if !late && requeues(&refusal, progress.plan.delivery) =>
            {
                Next::Requeue
            }
            // The ticket was minted for this request and named a life that has ended:
            // that life never received it, and this one did not start it.
            AttemptResult::Unknown(refusal)
                if !late
                    && progress.plan.delivery == Delivery::OnceMinted
                    && refusal.reason == Reason::KeyNotCovered =>
            {
                Next::Requeue
            }
            AttemptResult::NotRun(refusal) => Next::Finish(progress.disclaim(sent, refusal)),
            AttemptResult::Unsent if repeatable => {
                let refusal = Refusal::new(Reason::NoTarget, RetryAdvice::After(RETRY_DELAY));
                let fallback = progress.disclaim(sent, refusal);
                self.again(now, &mut progress, fallback)
            }
            AttemptResult::Unsent => Next::Finish(progress.unreachable(sent)),
            AttemptResult::Unknown(refusal) if repeatable => {
                progress.ran = true;
                self.again(now, &mut progress, Outcome::Unknown { refusal })
            }
            AttemptResult::Unknown(refusal) => Next::Finish(Outcome::Unknown { refusal }),
            AttemptResult::Broken { delivered: false } if repeatable => {
                progress.ran = true;
                let retry = RetryAdvice::After(RETRY_DELAY);
                let refusal = Refusal::new(Reason::ConnectionLost, retry);
                self.again(now, &mut progress, Outcome::Unknown { refusal })
            }
            AttemptResult::Broken { .. } => {
                let retry = match repeatable {
                    true => RetryAdvice::After(RETRY_DELAY),
                    false => RetryAdvice::VerifyFirst,
                };
                let refusal = Refusal::new(Reason::ConnectionLost, retry);
                Next::Finish(Outcome::Unknown { refusal })
            }
        };
        if !matches!(next, Next::Finish(_)) {
            self.requests.insert(request, progress);
        }
        next
    }

    /// Ends a request that has no attempt in flight; `None` if it has one or has ended.
    pub fn refuse(&mut self, request: RequestId, refusal: Refusal) -> Option<Outcome> {
        let progress = self.requests.get(&request)?;
        if progress.flight.is_some() {
            return None;
        }
        let progress = self.requests.remove(&request)?;
        Some(progress.refused(refusal))
    }

    /// Ends a request whose deadline passed; `None` if it has ended.
    pub fn expire(&mut self, request: RequestId) -> Option<Expiry> {
        let progress = self.requests.remove(&request)?;
        let flight = progress.flight.as_ref();
        let cancel = flight.map(|&(number, _)| AttemptId { request, number });
        let retry = match progress.plan.delivery {
            Delivery::OnceMinted if cancel.is_some() => RetryAdvice::VerifyFirst,
            _ => RetryAdvice::After(RETRY_DELAY),
        };
        let refusal = Refusal::new(Reason::DeadlinePassed, retry);
        let outcome = match cancel {
            Some(_) => Outcome::Unknown { refusal },
            None => progress.refused(refusal),
        };
        Some(Expiry { cancel, outcome })
    }

    /// Drops a request whose caller left; returns the attempt to cancel.
    pub fn gone(&mut self, request: RequestId) -> Option<AttemptId> {
        let progress = self.requests.remove(&request)?;
        let (number, _) = progress.flight?;
        Some(AttemptId { request, number })
    }

    /// Decides on a retry; `fallback` is the outcome without one.
    fn again(&mut self, now: Now, progress: &mut Progress, fallback: Outcome) -> Next {
        let settings = self.budget.settings();
        let after = now.mono + self.budget.delay(progress.retries + 1);
        let left = progress.retries + 1 < settings.attempts && after < progress.plan.deadline;
        if !left {
            return Next::Finish(fallback);
        }
        if !self.budget.spend(progress.plan.team) {
            return Next::Finish(over_budget(&fallback));
        }
        progress.retries += 1;
        self.counts.retried += 1;
        Next::Retry {
            after,
            avoid: progress.tried.clone(),
        }
    }
}

impl Progress {
    /// Whether an earlier attempt, or an earlier request with the same key, may have run.
    fn may_have_run(&self) -> bool {
        self.ran || self.plan.delivery == Delivery::OnceSupplied
    }

    /// The outcome of a request that is not sent again and has no attempt in flight.
    fn refused(&self, refusal: Refusal) -> Outcome {
        match self.may_have_run() {
            true => Outcome::Unknown { refusal },
            false => Outcome::NotRun {
                refusal,
                proof: SendPermit::new().cancel(),
            },
        }
    }

    /// The outcome after the agent stated that the attempt in flight did not run.
    fn disclaim(&self, sent: Sent, refusal: Refusal) -> Outcome {
        match self.ran {
            true => Outcome::Unknown { refusal },
            false => Outcome::NotRun {
                refusal,
                proof: sent.rejected_unsent(),
            },
        }
    }

    /// The outcome if the only agent that may run the key cannot be reached.
    fn unreachable(&self, sent: Sent) -> Outcome {
        let refusal = Refusal::new(Reason::HomeUnreachable, RetryAdvice::After(RETRY_DELAY));
        match self.may_have_run() {
            true => Outcome::Unknown { refusal },
            false => self.disclaim(sent, refusal),
        }
    }
}

/// Whether a request that did not run waits for another slot instead of ending.
///
/// A key that was supplied cannot go to another target; a ticket that was
/// minted for the request and that its agent did not start is minted anew.
fn requeues(refusal: &Refusal, delivery: Delivery) -> bool {
    match refusal.reason {
        Reason::NoSlot => true,
        Reason::Draining | Reason::Stopping | Reason::NotConfigured | Reason::NoTarget => {
            delivery != Delivery::OnceSupplied
        }
        Reason::HandOverLate => true,
        _ => false,
    }
}

fn over_budget(outcome: &Outcome) -> Outcome {
    let refusal = Refusal::new(Reason::RetryBudget, RetryAdvice::After(RETRY_DELAY));
    match outcome {
        Outcome::NotRun { proof, .. } => Outcome::NotRun {
            refusal,
            proof: *proof,
        },
        _ => Outcome::Unknown { refusal },
    }
}
