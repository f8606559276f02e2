//! The configuration in force: queues, services and limits on requests.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::ServiceName;
use crate::placement::advice::AdviceRules;

/// All objects of one configuration version.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Catalog {
    /// The version; 0 if no configuration is known yet.
    pub version: u64,
    /// The queues that requests can select.
    pub queues: Vec<Arc<Queue>>,
    /// The services whose minions run tasks.
    pub services: Vec<Service>,
    /// The limits on what clients send.
    pub limits: WireLimits,
}

impl Catalog {
    /// Returns the queue with a name, if the configuration has one.
    pub fn queue(&self, name: &str) -> Option<&Arc<Queue>> {
        self.queues.iter().find(|queue| *queue.name == *name)
    }

    /// Returns the queue of a request and the rest of the path after the queue's prefix.
    ///
    /// Among the queues of the host, the one with the longest matching prefix wins. A
    /// port after the host is ignored.
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
    /// The name, by which [`Catalog::queue`] finds it.
    pub name: Box<str>,
    /// The host of its requests, in any case.
    pub host: Box<str>,
    /// The prefix of the paths of its requests.
    pub path_prefix: Box<str>,
    /// The service whose minions run its tasks.
    pub service: ServiceName,
    /// The priority rank; 0 is the most urgent.
    pub priority: u8,
    /// The number of failed runs of a task at which its job fails.
    pub max_attempts: u32,
    /// The part of the latency objective that grows with run times, as a multiple of
    /// those of the longest chain of steps.
    pub slack_factor: f64,
    /// The constant part of the latency objective.
    pub target_latency_ms: u64,
    /// The timing of the advice service, if the queue's policy allows only some minions.
    pub advice: Option<AdviceRules>,
}

/// A service, whose minions run the tasks of queues.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name, by which queues and minions refer to it.
    pub name: ServiceName,
    /// Whether its minions reject starts that exceed their free capacity.
    pub admission_check: bool,
}

/// Limits on what clients send.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct WireLimits {
    /// The largest size of a request head.
    pub max_header_bytes: usize,
    /// The largest size of a request body.
    pub max_body_bytes: usize,
    /// The time within which a request head has to arrive.
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
