//! The interface of every state machine.

use crate::Now;

/// A state machine without I/O: events and time in, actions out.
///
/// The same events at the same times produce the same actions.
pub trait StateMachine {
    /// What the machine is told.
    type Event;
    /// What the machine asks its driver to do.
    type Action;

    /// Processes one event and appends the resulting actions to `actions`.
    fn handle(&mut self, now: Now, event: Self::Event, actions: &mut Vec<Self::Action>);
}
