//! The logs of stored jobs, which are partitions of a topic of the store.

use std::net::SocketAddr;
use std::time::Duration;

use bamboocart_adapter::{AppendResult, RawPage, StoreClient, StoreError};
use bamboocart_jobs::{AppendAnswer, LogAppend, LogPage, LogRead, LogRecord, ShardId};
use bincode::config::{self, Configuration, Limit, LittleEndian, Varint};
use tokio::time::sleep;

/// The topic of the logs; partition N holds the log of shard N.
const TOPIC: &str = "jobs";

/// The topic that has a record as soon as stored jobs have ever been used.
const USE_TOPIC: &str = "jobs-use";

/// The only record of that topic; its content is not read.
const USE_RECORD: &[u8] = b"stored jobs are in use";

/// The pause before a failed call on that topic is retried.
const USE_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The limit of what the decoder of a record allocates; records have 256 KiB at most.
const MAX_DECODED_BYTES: usize = 16 << 20;

/// The bincode format of records. Without the limit, the length of a text in a malformed
/// record is allocated before its bytes are read, and the process ends.
const FORMAT: Configuration<LittleEndian, Varint, Limit<MAX_DECODED_BYTES>> =
    config::standard().with_limit::<MAX_DECODED_BYTES>();

/// A client for the logs of all shards.
#[derive(Debug)]
pub struct JobLogs {
    store: StoreClient,
}

impl JobLogs {
    /// Creates a client for the logs in a store, without opening a connection.
    pub fn new(store: SocketAddr) -> Self {
        Self { store: StoreClient::new(store) }
    }

    /// Records in the store that stored jobs are used; retries until it succeeds.
    pub async fn record_stored_jobs(&self) {
        let records = [USE_RECORD.to_vec()];
        loop {
            match self.store.append_at(USE_TOPIC, 0, 0, &records).await {
                // A conflict means that another instance has recorded it.
                Ok(AppendResult::Written { .. } | AppendResult::Conflict) => return,
                Err(error) => {
                    log::info!(target: "store", error:% = error;
                        "cannot record the use of stored jobs; retrying");
                    sleep(USE_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Returns whether stored jobs have ever been used; retries until the store answers.
    pub async fn has_stored_jobs(&self) -> bool {
        loop {
            match self.store.read_raw(USE_TOPIC, 0, 0).await {
                Ok(RawPage::Records { end_offset, .. }) => return end_offset > 0,
                Ok(RawPage::Expired { .. }) => return true,
                Err(error) => {
                    log::debug!(target: "store", error:% = error;
                        "cannot read whether stored jobs are used; retrying");
                    sleep(USE_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Reads the log of a shard from an offset on.
    ///
    /// Skips malformed records, and returns [`LogPage::Lost`] if the store does not
    /// answer.
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
                    "cannot read the log of the shard");
                LogPage::Lost
            }
        }
    }

    /// Appends records to the log of a shard, if it ends at the expected offset.
    ///
    /// Returns [`AppendAnswer::Lost`] if the records may have been written, and
    /// [`AppendAnswer::Refused`] if the store rejects them or they cannot be encoded.
    pub async fn append(&self, order: &LogAppend) -> AppendAnswer {
        let ShardId(part) = order.shard;
        let records: Result<Vec<Vec<u8>>, _> = order.records.iter().map(encode).collect();
        let records = match records {
            Ok(records) => records,
            Err(error) => {
                log::error!(target: "store", shard = part, error:% = error;
                    "cannot encode a record");
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
                    error:% = error; "append failed");
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

fn encode(record: &LogRecord) -> Result<Vec<u8>, bincode::error::EncodeError> {
    bincode::serde::encode_to_vec(record, FORMAT)
}

/// Decodes a record; a malformed one is logged and skipped.
fn decode(part: u16, record: &[u8]) -> Option<LogRecord> {
    match bincode::serde::decode_from_slice(record, FORMAT) {
        Ok((record, _)) => Some(record),
        Err(error) => {
            log::error!(target: "store", shard = part, error:% = error;
                "skipped malformed record of the log");
            None
        }
    }
}
