//! Signals that request a process to stop.

use eyre::WrapErr;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The handlers of SIGTERM and SIGINT.
pub(super) struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    pub(super) fn new() -> eyre::Result<Self> {
        let terminate = signal(SignalKind::terminate()).wrap_err("cannot handle SIGTERM")?;
        let interrupt = signal(SignalKind::interrupt()).wrap_err("cannot handle SIGINT")?;
        Ok(Self {
            terminate,
            interrupt,
        })
    }

    pub(super) async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
