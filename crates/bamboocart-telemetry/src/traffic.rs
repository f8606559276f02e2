//! Counters of the bytes that an instance sends and receives, by purpose.

use metrics::counter;

use crate::job_metrics::{BYTES, DIRECTION_LABEL, PURPOSE_LABEL};

/// What bytes on the link of an instance are for.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Purpose {
    /// Requests of clients, and the answers.
    Client,
    /// Orders to minions to start a run.
    Start,
    /// Orders to minions to stop a run.
    Stop,
    /// Holds: renewals of leases with the lists of runs.
    Hold,
    /// The platform's list of minions.
    MinionList,
    /// The configuration.
    Configuration,
    /// The group of instances.
    Group,
    /// The logs of stored jobs.
    ShardLog,
    /// Calls for advice.
    Advice,
    /// Frames between instances, apart from their messages.
    Frame,
    /// Messages of this kind in frames to other instances.
    Message(&'static str),
}

/// The direction of bytes, as the instance sees it.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Direction {
    /// From the instance.
    Sent,
    /// To the instance.
    Received,
}

impl Purpose {
    /// Returns the value of the label.
    fn label(self) -> &'static str {
        match self {
            Self::Client => "client",
            Self::Start => "start",
            Self::Stop => "stop",
            Self::Hold => "hold",
            Self::MinionList => "minion-list",
            Self::Configuration => "configuration",
            Self::Group => "group",
            Self::ShardLog => "shard-log",
            Self::Advice => "advice",
            Self::Frame => "frame",
            Self::Message(kind) => kind,
        }
    }
}

impl Direction {
    /// Returns the value of the label.
    fn label(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

/// Counts bytes that were passed to a connection or read from one.
///
/// Headers of the network's own protocols are not included.
pub fn count_bytes(purpose: Purpose, direction: Direction, bytes: usize) {
    let (purpose, direction) = (purpose.label(), direction.label());
    counter!(BYTES, PURPOSE_LABEL => purpose, DIRECTION_LABEL => direction)
        .increment(bytes as u64);
}
