//! A test double of the platform's log service and instance list, in memory.

mod counters;
mod faults;
mod hold;
mod instances;
mod rate_limit;
mod server;
mod stream;

pub use self::counters::Counts;
pub use self::faults::FaultBody;
pub use self::server::{PlatformServer, Settings, settings};
