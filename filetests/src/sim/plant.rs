//! Planted bugs between the simulator and the state machines, to verify the checks.

use entity::{Fingerprint, Reason, Refusal, RetryAdvice};
use policy::{AgentAction, AgentEvent, AttemptResult};

use super::plan::Plan;
use crate::scenario::PlantedBug;

/// Applies planted bugs to an event for an agent.
pub(super) fn agent_event(plan: &Plan, event: AgentEvent) -> AgentEvent {
    match event {
        AgentEvent::Offered(mut offer) => {
            if plan.has_bug(&PlantedBug::DropKeys) {
                offer.key = None;
            }
            if plan.has_bug(&PlantedBug::DropFingerprints) {
                offer.fingerprint = Fingerprint(offer.attempt.request.0);
            }
            AgentEvent::Offered(offer)
        }
        event => event,
    }
}

/// Applies planted bugs to an action of an agent; `None` if the action is dropped.
pub(super) fn agent_action(plan: &Plan, action: AgentAction) -> Option<AgentAction> {
    match action {
        AgentAction::Reject { attempt, .. } if plan.has_bug(&PlantedBug::Overrun) => {
            Some(AgentAction::Start(attempt))
        }
        AgentAction::Reject {
            attempt,
            refusal,
            proof,
        } if plan.has_bug(&PlantedBug::BlameAll) => Some(AgentAction::Reject {
            attempt,
            refusal: Refusal::new(Reason::Quarantined, refusal.retry),
            proof,
        }),
        AgentAction::Pull { pull, .. }
            if plan.has_bug(&PlantedBug::LosePulls) && pull.sequence % 2 == 0 =>
        {
            None
        }
        action => Some(action),
    }
}

/// Applies planted bugs to an attempt result for a router.
pub(super) fn result(plan: &Plan, result: AttemptResult) -> AttemptResult {
    match result {
        AttemptResult::Unknown(_) | AttemptResult::Broken { .. }
            if plan.has_bug(&PlantedBug::FalseRefusal) =>
        {
            let advice = RetryAdvice::Never;
            AttemptResult::NotRun(Refusal::new(Reason::TargetDied, advice))
        }
        result => result,
    }
}
