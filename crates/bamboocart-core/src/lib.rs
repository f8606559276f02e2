//! The decisions of bamboocart, without sockets, files, threads or a clock.
//!
//! Time and randomness come in as arguments, so that every decision can be replayed.

pub mod account;
pub mod config;
pub mod id;
pub mod outcome;
pub mod target;
pub mod time;
