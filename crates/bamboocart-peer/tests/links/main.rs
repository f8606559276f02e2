//! Tests of the links between instances over loopback TCP connections.

mod exchange;
mod faults;
mod support;
