//! The common interface of the state machines.

use crate::Now;

/// A deterministic state machine that performs no I/O.
///
/// The same events at the same times produce the same actions.
pub trait StateMachine {
    /// The input of the machine.
    type Event;
    /// The output of the machine, which its driver executes.
    type Action;

    /// Processes one event and appends the resulting actions to `actions`.
    fn handle(&mut self, now: Now, event: Self::Event, actions: &mut Vec<Self::Action>);
}
