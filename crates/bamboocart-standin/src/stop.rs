//! Waits for the signal that ends a stand-in.

use std::io;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// `SIGTERM` and `SIGINT`, caught from the time of registration on.
pub struct StopSignals {
    signals: Signals,
}

impl StopSignals {
    /// Registers the signals.
    ///
    /// Must be called before the process reports that it is ready, since a signal that
    /// arrives earlier kills it.
    pub fn register() -> io::Result<Self> {
        Ok(Self { signals: Signals::new([SIGTERM, SIGINT])? })
    }

    /// Blocks until one of the signals arrives.
    pub fn wait(mut self) {
        self.signals.forever().next();
    }
}
