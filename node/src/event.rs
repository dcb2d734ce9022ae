//! Log events.
