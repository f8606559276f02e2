//! The log on standard output.

use std::io::{self, Write};
use std::time::Duration;

use bamboocart_telemetry::buffer::LineBuffer;
use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use tokio::time::sleep;

/// The longest time that a line waits.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Returns a buffer for lines, and lets writes to standard output fail instead of block.
pub fn line_buffer() -> io::Result<LineBuffer> {
    let output = rustix::stdio::stdout();
    fcntl_setfl(output, fcntl_getfl(output)? | OFlags::NONBLOCK)?;
    Ok(LineBuffer::default())
}

/// Writes waiting lines again and again.
pub async fn flush_periodically(lines: LineBuffer) {
    loop {
        flush(&lines);
        sleep(WRITE_INTERVAL).await;
    }
}

/// Writes waiting lines.
pub fn flush(lines: &LineBuffer) {
    // Without a reader there is nobody to tell about the failure.
    let _ = lines.write_to(&mut RawStdout);
}

/// Standard output without the buffer of `Stdout`, which would block or lose bytes.
struct RawStdout;

impl Write for RawStdout {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Ok(rustix::io::write(rustix::stdio::stdout(), bytes)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
