//! What the daemons share: settings, log events.
//!
//! The crate owns the settings files and the numbered log events. It decides
//! nothing about requests.

pub mod event;
pub mod settings;
