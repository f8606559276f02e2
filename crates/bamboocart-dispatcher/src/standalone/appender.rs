//! The threads that append records to the log.

use std::sync::Arc;

use bamboocart_core::account::ACCOUNT_STREAM;
use bamboocart_core::engine::Event;
use bamboocart_platform::Platform;
use crossbeam::channel::{Receiver, Sender};

use crate::standalone::observe::{LogCall, count_log_call};

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
        let result = platform.append(record.stream, &record.body);
        count_log_call(LogCall::Append, result.is_ok());
        if let Err(error) = result {
            log::warn!("{error}");
        }
    }
}

/// A batch of the account to append.
#[derive(Debug)]
pub struct AccountBatch {
    /// The number of the batch.
    pub number: u64,
    /// The record.
    pub text: Arc<str>,
}

/// Appends batches of the account until the queue is closed, and reports each end.
pub fn run_account(
    platform: &Platform,
    batches: &Receiver<AccountBatch>,
    events: &Sender<Event>,
) {
    let mut failing = false;
    for AccountBatch { number, text } in batches {
        let result = platform.append(ACCOUNT_STREAM, &text);
        let confirmed = result.is_ok();
        count_log_call(LogCall::Append, confirmed);
        match result {
            Err(error) if !failing => {
                log::warn!("batch {number} of the account: {error}")
            }
            Ok(_) if failing => log::info!("the account is appended again"),
            _ => {}
        }
        failing = !confirmed;
        if events.send(Event::AccountAppended { number, confirmed }).is_err() {
            return;
        }
    }
}
