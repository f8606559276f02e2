//! Tests of the links between instances over loopback TCP.

mod exchange;
mod faults;
mod support;
