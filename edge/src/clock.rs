//! A monotonic clock that keeps counting while the VM is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use policy::direct::confirmation::Uptime;

/// A source of [`Uptime`].
pub(crate) trait BootClock {
    /// Reads the clock.
    fn uptime(&self) -> Uptime;
}

/// The operating system's clock.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct SystemBootClock;

impl BootClock for SystemBootClock {
    /// # Panics
    ///
    /// Panics if the system has no such clock; every supported Linux has it.
    fn uptime(&self) -> Uptime {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME exists");
        Uptime(Duration::from(time))
    }
}
