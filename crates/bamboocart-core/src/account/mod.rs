//! The account: an audit log of who was served in which order, and its verification.
//!
//! The entries of one incarnation are appended to the log stream `account` in numbered
//! batches that form a BLAKE3 hash chain. A batch is encoded with bincode and base64, and
//! contains each name and each submission only once. The hashes are not keyed: the chain
//! proves that entries belong together, while the log's offsets and append times prove
//! when each batch existed. Anyone who can replace the end of an incarnation in the log
//! can also recompute its hashes, so store the last hash of a verified stream elsewhere.

mod batch;
mod builder;
mod entry;
mod fault;
mod floor;
mod incarnation;
mod order;
mod position;
mod row;
mod share;
mod summary;
mod tasks;
mod verify;
mod writer;

pub use self::batch::{
    ChainHash, DecodeBatchError, DecodedBatch, EncodedBatch, MAX_BATCH_BYTES,
    MAX_BATCH_ENTRIES, MAX_ENTRY_BYTES, ParseChainHashError,
};
pub use self::entry::{
    AnswerKind, Entry, Fact, FinishResult, Gap, SchedulingParams, StartReason, Subject,
    TaskRange,
};
pub use self::fault::{Fault, Finding};
pub use self::floor::Floors;
pub use self::summary::{
    CustomerTotals, GapCause, GapReport, IncarnationSummary, StartTotals, VerifyReport,
};
pub use self::verify::{StreamRecord, Verifier, VerifySettings, verify};
pub use self::writer::{AccountWriter, Batch, MAX_BUFFER_BYTES, MAX_BUFFERED_ENTRIES};

/// The name of the log stream that the account is appended to.
pub const ACCOUNT_STREAM: &str = "account";
