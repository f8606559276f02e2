//! Lines that wait in memory until the thread that logs writes them.

use std::io::{self, ErrorKind, Write};
use std::sync::{Arc, Mutex, PoisonError};

/// The bytes that wait at the most; further lines are dropped and counted.
const MAX_BYTES: usize = 1 << 20;

/// A bounded buffer of lines without a thread of its own, for programs that cannot afford
/// the hand-over to one.
#[derive(Debug, Clone, Default)]
pub struct LineBuffer {
    /// What waits.
    state: Arc<Mutex<State>>,
}

/// What waits.
#[derive(Debug, Default)]
struct State {
    /// Whole lines, of which the first may be partly written.
    bytes: Vec<u8>,
    /// The bytes at the start that are written.
    written: usize,
    /// The lines that were dropped.
    dropped: u64,
}

impl LineBuffer {
    /// Adds one line without its end, or drops it when the buffer is full.
    pub fn push(&self, line: &str) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.bytes.len() + line.len() >= MAX_BYTES {
            state.dropped += 1;
            return;
        }
        state.bytes.extend_from_slice(line.as_bytes());
        state.bytes.push(b'\n');
    }

    /// Writes as much as the output takes without blocking.
    ///
    /// A non-blocking output that takes nothing more is no error; the rest waits.
    pub fn write_to(&self, output: &mut impl Write) -> io::Result<()> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        while state.written < state.bytes.len() {
            match output.write(&state.bytes[state.written..]) {
                Ok(0) => break,
                Ok(count) => state.written += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        let written = std::mem::take(&mut state.written);
        state.bytes.drain(..written);
        Ok(())
    }

    /// Returns the lines that were dropped.
    pub fn dropped(&self) -> u64 {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).dropped
    }
}
