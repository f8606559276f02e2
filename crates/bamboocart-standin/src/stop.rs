//! Waiting for the signal that ends a stand-in.

use std::io;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// The signals that ask the process to stop, caught from the time of registration on.
pub struct StopSignals {
    /// The registered signals.
    signals: Signals,
}

impl StopSignals {
    /// Registers the signals; call this before the process reports that it is ready.
    pub fn register() -> io::Result<Self> {
        Ok(Self { signals: Signals::new([SIGTERM, SIGINT])? })
    }

    /// Blocks until one of the signals arrives.
    pub fn wait(mut self) {
        self.signals.forever().next();
    }
}
