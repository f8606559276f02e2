//! A bounded line buffer that the logging thread writes out itself.

use std::io::{self, ErrorKind, Write};
use std::sync::{Arc, Mutex, PoisonError};

/// The capacity of the buffer; lines beyond it are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// A bounded buffer of lines without a thread of its own.
///
/// It is for programs that cannot afford to pass each line to another thread. Clones
/// share the buffer.
#[derive(Debug, Clone, Default)]
pub struct LineBuffer {
    state: Arc<Mutex<State>>,
}

/// The lines that are not written yet.
#[derive(Debug, Default)]
struct State {
    /// Whole lines with their line feeds; the first may be partly written.
    bytes: Vec<u8>,
    /// The number of bytes at the start of `bytes` that are written.
    written: usize,
    /// The number of lines dropped for lack of space.
    dropped: u64,
}

impl LineBuffer {
    /// Adds a line, given without its line feed, or drops it if the buffer is full.
    pub fn push(&self, line: &str) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.bytes.len() + line.len() >= MAX_BUFFERED_BYTES {
            state.dropped += 1;
            return;
        }
        state.bytes.extend_from_slice(line.as_bytes());
        state.bytes.push(b'\n');
    }

    /// Writes as much as the output accepts without blocking.
    ///
    /// It is not an error if a non-blocking output accepts nothing more; the rest stays
    /// in the buffer.
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

    /// Returns the number of lines dropped because the buffer was full.
    pub fn dropped(&self) -> u64 {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).dropped
    }
}
