//! Faults that a test can script into an engine.

use serde::{Deserialize, Serialize};

/// Something that goes wrong at once.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// The engine dies now and restarts as it does after an overload.
    Crash,
    /// The engine turns cold without a restart.
    Cool,
    /// Each step takes this many times as long; 1 is normal.
    Slow {
        /// The factor.
        factor: u32,
    },
    /// The engine stops making tokens for a while but keeps its connections.
    Pause {
        /// The time in milliseconds.
        millis: u64,
    },
    /// Running streams break while the engine goes on.
    CutStreams,
}
