//! A client for the platform: its log service and its instance list.
//!
//! Every call opens a new connection, so that a connection that stopped responding is
//! never reused.

mod client;
mod record;

pub use self::client::{Error, Platform, Result};
pub use self::record::{
    AppendResult, InstanceEntry, InstanceList, ListState, Record, RecordPage,
};
