//! Non-blocking output of log lines to standard output.

use std::io::{self, Write};
use std::time::Duration;

use bamboocart_telemetry::buffer::LineBuffer;
use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use tokio::time::sleep;

/// The time between two writes; no line waits longer unless standard output is full.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Creates the line buffer and makes standard output non-blocking.
///
/// A write to a full pipe then fails instead of stalling the only thread.
pub fn line_buffer() -> io::Result<LineBuffer> {
    let output = rustix::stdio::stdout();
    fcntl_setfl(output, fcntl_getfl(output)? | OFlags::NONBLOCK)?;
    Ok(LineBuffer::default())
}

/// Writes buffered lines every 50 ms, forever.
pub async fn flush_periodically(lines: LineBuffer) {
    loop {
        flush(&lines);
        sleep(WRITE_INTERVAL).await;
    }
}

/// Writes as many buffered lines as standard output accepts.
pub fn flush(lines: &LineBuffer) {
    // If standard output has no reader, there is nowhere to report the failure.
    let _ = lines.write_to(&mut RawStdout);
}

/// The file descriptor of standard output without the buffer of `Stdout`, which would
/// block or lose bytes on a non-blocking descriptor.
struct RawStdout;

impl Write for RawStdout {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Ok(rustix::io::write(rustix::stdio::stdout(), bytes)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
