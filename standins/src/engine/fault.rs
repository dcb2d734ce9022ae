//! Faults that a test can inject into an engine.

use serde::{Deserialize, Serialize};

/// A fault that takes effect at once.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// The engine crashes and restarts as it does after an overload.
    Crash,
    /// The engine becomes cold without a restart.
    Cool,
    /// Multiplies the duration of each step; 1 is normal.
    Slow {
        /// The factor.
        factor: u32,
    },
    /// The engine generates no tokens for a while but keeps its connections open.
    Pause {
        /// The duration in milliseconds.
        millis: u64,
    },
    /// All open streams are disconnected while the engine keeps running.
    CutStreams,
}
