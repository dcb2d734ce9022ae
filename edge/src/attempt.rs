//! The registration of attempts in the target table.
//!
//! Invariant: an attempt is ended when it is dropped, whatever the outcome of its request.

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
    cost: AttemptCost,
    started: Cell<bool>,
}

impl Attempt {
    pub(crate) fn begin(
        context: &Rc<Context>,
        target_id: TargetEntryId,
        prompt: Option<&Prompt>,
        copy_source: Option<CopySource>,
        now: Instant,
    ) -> Self {
        let copied = copy_source.map_or(0, |copy_source| copy_source.tokens);
        let mut target_table = context.target_table.borrow_mut();
        let cost = target_table.begin_attempt(target_id, prompt, copied, now);
        drop(target_table);
        Self {
            context: context.clone(),
            target_id,
            copy_source,
            cost,
            started: Cell::new(false),
        }
    }

    /// The number of tokens that the target has to prefill.
    pub(crate) fn prefill_tokens(&self) -> u32 {
        self.cost.prefill_tokens
    }

    /// Records the first event of the response.
    pub(crate) fn record_started(&self) {
        if !self.started.replace(true) {
            let mut target_table = self.context.target_table.borrow_mut();
            target_table.record_first_event(self.target_id, self.cost, Instant::now());
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let mut target_table = self.context.target_table.borrow_mut();
        target_table.end_attempt(self.target_id, self.cost, self.started.get());
    }
}
