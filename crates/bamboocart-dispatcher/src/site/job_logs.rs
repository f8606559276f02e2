//! The logs of stored jobs, as partitions of a topic of the store.

use std::net::SocketAddr;
use std::time::Duration;

use bamboocart_adapter::{AppendResult, RawPage, StoreClient, StoreError};
use bamboocart_jobs::{AppendAnswer, LogAppend, LogPage, LogRead, LogRecord, ShardId};
use bincode::config::{self, Configuration};
use tokio::time::sleep;

/// The topic; partition N holds the log of shard N.
const TOPIC: &str = "jobs";

/// The topic that has a record once there are stored jobs.
const USE_TOPIC: &str = "jobs-use";

/// The record of that topic.
const USE_RECORD: &[u8] = b"stored jobs are in use";

/// The pause before a call about the use is made again.
const USE_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The format of records.
const FORMAT: Configuration = config::standard();

/// The calls to the logs.
#[derive(Debug)]
pub struct JobLogs {
    store: StoreClient,
}

impl JobLogs {
    /// Creates the calls to a store.
    pub fn new(store: SocketAddr) -> Self {
        Self { store: StoreClient::new(store) }
    }

    /// Notes in the store that there are stored jobs.
    pub async fn record_stored_jobs(&self) {
        let records = [USE_RECORD.to_vec()];
        loop {
            match self.store.append_at(USE_TOPIC, 0, 0, &records).await {
                // A conflict means that another instance has noted it.
                Ok(AppendResult::Written { .. } | AppendResult::Conflict) => return,
                Err(error) => {
                    log::info!(target: "store", error:% = error;
                        "the use of stored jobs cannot be noted");
                    sleep(USE_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Returns whether there are stored jobs, once the store tells.
    pub async fn has_stored_jobs(&self) -> bool {
        loop {
            match self.store.read_raw(USE_TOPIC, 0, 0).await {
                Ok(RawPage::Records { end_offset, .. }) => return end_offset > 0,
                Ok(RawPage::Expired { .. }) => return true,
                Err(error) => {
                    log::debug!(target: "store", error:% = error;
                        "the use of stored jobs cannot be read");
                    sleep(USE_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Reads records.
    pub async fn read(&self, order: &LogRead) -> LogPage {
        let ShardId(part) = order.shard;
        match self.store.read_raw(TOPIC, part, order.from_offset).await {
            Ok(RawPage::Records { records, next_offset, end_offset }) => {
                let read = |record: &bytes::Bytes| decode(part, record);
                let records = records.iter().filter_map(read).collect();
                LogPage::Records { records, next_offset, end_offset }
            }
            Ok(RawPage::Expired { first_offset }) => LogPage::Expired { first_offset },
            Err(error) => {
                log::info!(target: "store", shard = part, error:% = error;
                    "log cannot be read");
                LogPage::Lost
            }
        }
    }

    /// Appends records.
    pub async fn append(&self, order: &LogAppend) -> AppendAnswer {
        let ShardId(part) = order.shard;
        let records: Result<Vec<Vec<u8>>, _> = order.records.iter().map(encode).collect();
        let records = match records {
            Ok(records) => records,
            Err(error) => {
                log::error!(target: "store", shard = part, error:% = error;
                    "record cannot be encoded");
                return AppendAnswer::Refused;
            }
        };
        match self.store.append_at(TOPIC, part, order.at_offset, &records).await {
            Ok(AppendResult::Written { end_offset }) => {
                AppendAnswer::Appended { end_offset }
            }
            Ok(AppendResult::Conflict) => AppendAnswer::Conflict,
            Err(error) => {
                log::info!(target: "store", shard = part, records = records.len(),
                    error:% = error; "append without success");
                match error {
                    StoreError::Status { .. } => AppendAnswer::Refused,
                    StoreError::Call { .. }
                    | StoreError::Expired
                    | StoreError::Unreadable { .. } => AppendAnswer::Lost,
                }
            }
        }
    }
}

/// Encodes a record.
fn encode(record: &LogRecord) -> Result<Vec<u8>, bincode::error::EncodeError> {
    bincode::serde::encode_to_vec(record, FORMAT)
}

/// Decodes a record; one that cannot be read is logged and passed over.
fn decode(part: u16, record: &[u8]) -> Option<LogRecord> {
    match bincode::serde::decode_from_slice(record, FORMAT) {
        Ok((record, _)) => Some(record),
        Err(error) => {
            log::error!(target: "store", shard = part, error:% = error;
                "unreadable record of a log is passed over");
            None
        }
    }
}
