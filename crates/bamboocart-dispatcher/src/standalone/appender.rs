//! The threads that append records to the platform's log.

use std::sync::Arc;

use bamboocart_core::account::ACCOUNT_STREAM;
use bamboocart_core::engine::Event;
use bamboocart_platform::Platform;
use crossbeam::channel::{Receiver, Sender};

use crate::standalone::observe::{LogCall, count_log_call};

/// A record to append.
#[derive(Debug)]
pub struct Append {
    /// The name of the stream to append to.
    pub stream: &'static str,
    /// The body of the record.
    pub body: String,
}

/// Appends records until the queue is closed.
///
/// A failed append is not retried here. The engine sees in the log whether the append
/// took effect, and requests it again if it is still needed.
pub fn run(platform: &Platform, records: &Receiver<Append>) {
    for record in records {
        let result = platform.append(record.stream, &record.body);
        count_log_call(LogCall::Append, result.is_ok());
        if let Err(error) = result {
            log::warn!("{error}");
        }
    }
}

/// A batch of account entries to append.
#[derive(Debug)]
pub struct AccountBatch {
    /// The number of the batch, which the engine gets back with the result.
    pub number: u64,
    /// The encoded batch, which is the body of the record.
    pub text: Arc<str>,
}

/// Appends account batches until the queue is closed, and reports each result to the
/// engine.
///
/// A series of failures is logged once.
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
                log::warn!("could not append account batch {number}: {error}")
            }
            Ok(_) if failing => log::info!("appends to the account succeed again"),
            _ => {}
        }
        failing = !confirmed;
        if events.send(Event::AccountAppended { number, confirmed }).is_err() {
            return;
        }
    }
}
