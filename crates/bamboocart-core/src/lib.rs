//! The decisions of bamboocart, without sockets, files, threads or a clock.
//!
//! Time and randomness come in as arguments, so that every decision can be replayed.

pub mod config;
pub mod id;
pub mod membership;
pub mod outcome;
pub mod ownership;
pub mod target;
pub mod time;
