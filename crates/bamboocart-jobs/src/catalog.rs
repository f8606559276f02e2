//! The configuration in force: queues, services and limits of the wire.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::advice::AdviceRules;
use crate::id::ServiceName;

/// All objects of one configuration version.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Catalog {
    /// The version; 0 means that none is known yet.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Arc<Queue>>,
    /// The services.
    pub services: Vec<Service>,
    /// The limits of the wire.
    pub limits: WireLimits,
}

impl Catalog {
    /// Returns the queue with a name.
    pub fn queue(&self, name: &str) -> Option<&Arc<Queue>> {
        self.queues.iter().find(|queue| *queue.name == *name)
    }

    /// Returns the queue of a request and the rest of the path behind the queue's prefix.
    ///
    /// Among the queues of the host, the one with the longest matching prefix wins.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Arc<Queue>, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter_map(|queue| Some((queue, path.strip_prefix(&*queue.path_prefix)?)))
            .max_by_key(|(queue, _)| queue.path_prefix.len())
    }
}

/// A queue of jobs of one request kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The name.
    pub name: Box<str>,
    /// The host that requests name.
    pub host: Box<str>,
    /// The start of the path of its requests.
    pub path_prefix: Box<str>,
    /// The service whose minions run its tasks.
    pub service: ServiceName,
    /// The rank; 0 comes first.
    pub priority: u8,
    /// How often a task may end as failed.
    pub max_attempts: u32,
    /// The latency objective as a multiple of the longest chain of run times.
    pub slack_factor: f64,
    /// The part of the latency objective that does not depend on run times.
    pub target_latency_ms: u64,
    /// How it takes advice on the minions to use, if it does.
    pub advice: Option<AdviceRules>,
}

/// A service.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name.
    pub name: ServiceName,
    /// Whether its minions reject starts that do not fit.
    pub admission_check: bool,
}

/// Limits on what clients send.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct WireLimits {
    /// The largest head of a request.
    pub max_header_bytes: usize,
    /// The largest body of a request.
    pub max_body_bytes: usize,
    /// The time in which the head of a request has to arrive.
    pub header_timeout_ms: u64,
    /// The time after which an idle connection is closed.
    pub idle_timeout_ms: u64,
}

impl Default for WireLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 256 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
