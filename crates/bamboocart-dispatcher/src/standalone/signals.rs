//! The signals that stop an instance.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// Receives SIGTERM and SIGINT, each as often as its handler runs.
///
/// The iterator of `signal_hook` keeps one flag for each kind of signal. It would report
/// two SIGTERM as one if the second arrives before the first is read.
pub struct StopSignals {
    /// Each run of a handler writes one byte to the other end.
    receiver: UnixStream,
}

impl StopSignals {
    /// Installs the handlers.
    pub fn new() -> io::Result<Self> {
        let (receiver, sender) = UnixStream::pair()?;
        pipe::register(SIGINT, sender.try_clone()?)?;
        pipe::register(SIGTERM, sender)?;
        Ok(Self { receiver })
    }

    /// Waits for the next signal.
    pub fn wait(&mut self) -> io::Result<()> {
        self.receiver.read_exact(&mut [0])
    }
}
