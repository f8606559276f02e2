//! The thread that appends records to the log.

use bamboocart_platform::Platform;
use crossbeam::channel::Receiver;

/// A record to append.
#[derive(Debug)]
pub struct Append {
    /// The stream.
    pub stream: &'static str,
    /// The record.
    pub body: String,
}

/// Appends records until the queue is closed.
///
/// A failed append is not repeated here: whoever ordered it sees in the log whether it
/// took effect and orders it again if it is still needed.
pub fn run(platform: &Platform, records: &Receiver<Append>) {
    for record in records {
        if let Err(error) = platform.append(record.stream, &record.body) {
            log::warn!("{error}");
        }
    }
}
