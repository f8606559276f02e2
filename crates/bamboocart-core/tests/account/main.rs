//! Tests of the account: its chain, its verification, and the order of starts.

mod chain;
mod floors;
mod order;
mod stream;
mod tampering;
