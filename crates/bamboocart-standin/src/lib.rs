//! Stand-ins for the platform and the targets, a load generator and a history checker.
//!
//! All servers listen on the loopback interface only and keep their state in memory.

pub mod clock;
pub mod fault_proxy;
pub mod history;
pub mod http;
pub mod join;
pub mod load;
pub mod measure;
pub mod platform;
pub mod random;
pub mod stop;
pub mod target;
pub mod verify;
