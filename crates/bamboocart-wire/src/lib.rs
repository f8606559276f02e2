//! The messages and HTTP bodies that instances exchange with peers, callers and targets.

pub mod api;
pub mod message;
pub mod status;
pub mod text;
