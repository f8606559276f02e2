//! A bounded queue of lines in front of a slow output.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};

/// The number of lines that may wait for the output; more are dropped and counted.
pub const MAX_BUFFERED_LINES: usize = 8_192;

/// The longest line; longer ones are dropped and counted, which bounds the memory.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// Passes lines to a thread that writes them, and never blocks its callers.
///
/// Otherwise a standard error that nobody reads would block the thread that logs. Clones
/// share the queue.
#[derive(Debug, Clone)]
pub struct LineSink {
    commands: Sender<Command>,
    /// The number of lines that were dropped or could not be written.
    dropped: Arc<AtomicU64>,
}

impl LineSink {
    /// Starts the writer thread, which ends when the last clone of the sink is dropped.
    ///
    /// Fails if the thread cannot be spawned.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        Self::with_capacity(output, MAX_BUFFERED_LINES)
    }

    /// Starts the writer thread with a queue of `lines` lines.
    pub fn with_capacity(
        output: impl Write + Send + 'static,
        lines: usize,
    ) -> io::Result<Self> {
        let (commands, receiver) = bounded(lines);
        let dropped: Arc<AtomicU64> = Arc::default();
        let failed = Arc::clone(&dropped);
        thread::Builder::new()
            .name("lines".into())
            .spawn(move || write_lines(output, &receiver, &failed))?;
        Ok(Self { commands, dropped })
    }

    /// Queues a line, given without its line feed.
    ///
    /// The line is dropped if the queue is full or it exceeds [`MAX_LINE_BYTES`].
    pub fn push(&self, line: String) {
        let fits = line.len() <= MAX_LINE_BYTES;
        if !fits || self.commands.try_send(Command::Write(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines that were dropped or could not be written.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits until earlier lines are written, and returns whether that succeeded in time.
    ///
    /// The limit applies to queueing the flush and to its completion, each.
    pub fn flush(&self, limit: Duration) -> bool {
        let (done, wait) = bounded(1);
        self.commands.send_timeout(Command::Flush(done), limit).is_ok()
            && wait.recv_timeout(limit).is_ok()
    }
}

/// A command to the writer thread.
#[derive(Debug)]
enum Command {
    /// Write a line.
    Write(String),
    /// Flush the output, then signal on the channel.
    Flush(Sender<()>),
}

/// Writes lines until all senders are dropped; flushes whenever the queue is empty.
fn write_lines(mut output: impl Write, commands: &Receiver<Command>, failed: &AtomicU64) {
    for command in commands {
        match command {
            Command::Write(mut line) => {
                line.push('\n');
                if output.write_all(line.as_bytes()).is_err() {
                    failed.fetch_add(1, Ordering::Relaxed);
                }
            }
            Command::Flush(done) => {
                let _ = output.flush();
                let _ = done.send(());
            }
        }
        if commands.is_empty() {
            let _ = output.flush();
        }
    }
}
