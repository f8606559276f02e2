//! A client for the platform: its log service and its instance list.
//!
//! Each call opens a connection of its own, so that a connection which has gone silent is
//! never used again.

mod client;
mod record;

pub use self::client::{Error, Platform, Result};
pub use self::record::{
    AppendResult, InstanceEntry, InstanceList, ListState, Record, RecordPage,
};
