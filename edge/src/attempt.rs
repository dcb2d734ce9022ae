//! The registration of attempts in the target table.
//!
//! Invariants:
//! - An attempt is ended when it is dropped, whatever the outcome of its request.
//! - A team is charged for an attempt, and no longer once it ended without a first event.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use policy::direct::placement::CopySource;
use policy::direct::target_table::{AttemptCost, Prompt, TargetEntryId};

use crate::context::Context;

/// An attempt registered in the target table.
pub(crate) struct Attempt {
    context: Rc<Context>,
    pub(crate) target_id: TargetEntryId,
    /// The target from which cached prompt parts are copied.
    pub(crate) copy_source: Option<CopySource>,
    /// The time before which the connection must have been opened, if that matters.
    pub(crate) opened_before: Option<Instant>,
    cost: AttemptCost,
    sent_at: Instant,
    /// When the first byte of the response was received.
    started_at: Cell<Option<Instant>>,
    /// When the last bytes of the response were received.
    last_byte: Cell<Option<Instant>>,
    charge: Option<Charge>,
}

/// Where a request is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Selected {
    pub(crate) target_id: TargetEntryId,
    pub(crate) copy_source: Option<CopySource>,
    pub(crate) opened_before: Option<Instant>,
}

/// When an attempt was sent and began to be answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptTimes {
    pub(crate) sent_at: Instant,
    pub(crate) started_at: Option<Instant>,
}

/// The tokens that a team was charged for an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Charge {
    /// The tag of the team's name.
    pub(crate) team: u64,
    pub(crate) tokens: f64,
    pub(crate) charged_at: Instant,
}

impl Attempt {
    pub(crate) fn begin(
        context: &Rc<Context>,
        selected: Selected,
        prompt: Option<&Prompt>,
        charge: Option<Charge>,
        now: Instant,
    ) -> Self {
        let Selected {
            target_id,
            copy_source,
            opened_before,
        } = selected;
        if let Some(Charge { team, tokens, .. }) = charge {
            let mut fair_shares = context.fair_shares.borrow_mut();
            fair_shares.record_admitted(team, tokens, now);
        }
        let copied = copy_source.map_or(0, |copy_source| copy_source.tokens);
        let mut target_table = context.target_table.borrow_mut();
        let cost = target_table.begin_attempt(target_id, prompt, copied, now);
        drop(target_table);
        Self {
            context: context.clone(),
            target_id,
            copy_source,
            opened_before,
            cost,
            sent_at: now,
            started_at: Cell::new(None),
            last_byte: Cell::new(None),
            charge,
        }
    }

    /// The number of tokens that the target has to prefill.
    pub(crate) fn prefill_tokens(&self) -> u32 {
        self.cost.prefill_tokens
    }

    /// Records received bytes of the response.
    pub(crate) fn record_byte(&self) {
        let now = Instant::now();
        let previous = self.last_byte.replace(Some(now));
        let mut target_table = self.context.target_table.borrow_mut();
        target_table.record_byte(self.target_id, now);
        if let Some(previous) = previous.filter(|_| self.has_started()) {
            let step = now.saturating_duration_since(previous);
            target_table.record_step(self.target_id, step, now);
        }
    }

    /// Records the first event of the response.
    pub(crate) fn record_started(&self) {
        if !self.has_started() {
            let now = Instant::now();
            self.started_at.set(Some(now));
            let mut target_table = self.context.target_table.borrow_mut();
            target_table.record_first_event(self.target_id, self.cost, now);
        }
    }

    fn has_started(&self) -> bool {
        self.started_at.get().is_some()
    }

    /// Returns when it was sent and began to be answered.
    pub(crate) fn times(&self) -> AttemptTimes {
        AttemptTimes {
            sent_at: self.sent_at,
            started_at: self.started_at.get(),
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let mut target_table = self.context.target_table.borrow_mut();
        target_table.end_attempt(self.target_id, self.cost, self.has_started());
        if let Some(charge) = self.charge.filter(|_| !self.has_started()) {
            let mut fair_shares = self.context.fair_shares.borrow_mut();
            fair_shares.record_unbegun(
                charge.team,
                charge.tokens,
                charge.charged_at,
                Instant::now(),
            );
        }
    }
}
