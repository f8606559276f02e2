//! The decision logic of bamboocart, free of sockets, files, threads and clocks.
//!
//! Time and randomness are passed in as arguments, so that every decision can be
//! replayed.

pub mod account;
pub mod admission;
pub mod config;
pub mod engine;
pub mod estimate;
pub mod health;
pub mod histogram;
pub mod id;
pub mod membership;
pub mod message;
pub mod outcome;
pub mod ownership;
pub mod placement;
pub mod queue;
pub mod quota;
pub mod retry;
pub mod slots;
pub mod target;
pub mod time;
