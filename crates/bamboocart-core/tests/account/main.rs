//! Tests of the account: its writer, its verification, and the order of starts.

mod floors;
mod order;
mod stream;
mod tampering;
mod writer;
