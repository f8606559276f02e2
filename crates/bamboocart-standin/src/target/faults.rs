//! The fault switches of targets.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// The body of `POST /faults` on the control port; absent switches stay as they are.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultBody {
    /// The names of the targets to which the switches apply; all if absent.
    pub targets: Option<BTreeSet<String>>,
    /// Fails every task immediately after its start.
    pub fail_all: Option<bool>,
    /// The delay of the answer to every call.
    pub delay_ms: Option<u64>,
    /// Refuses new connections; open ones are not affected.
    pub refuse: Option<bool>,
    /// Runs tasks but does not answer the calls that sent them.
    pub drop_answer: Option<bool>,
    /// Holds back all bytes in both directions while true; tasks go on.
    pub freeze: Option<bool>,
    /// Discards all further bytes of the connections that are open now; new ones work.
    pub silent: Option<bool>,
    /// Makes the target leave, which lasts until it is restarted.
    pub leaving: Option<LeavingMode>,
    /// Kills the target with its tasks, connections and list entry if true, or restarts
    /// it.
    pub die: Option<bool>,
}

/// How a target behaves while it is leaving.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeavingMode {
    /// Announces it in the list and in `GET /live`, but still starts tasks.
    Announce,
    /// Announces it and rejects tasks.
    Reject,
}

/// The switches of one target that change its answers; the others act on its proxy.
#[derive(Debug, Copy, Clone, Default)]
pub struct Switches {
    /// Whether every task fails immediately after its start.
    pub fail_all: bool,
    /// The delay of every answer; 0 for none.
    pub delay_ms: u64,
    /// Whether answers to tasks are dropped.
    pub drop_answer: bool,
    /// How the target is leaving, if it is.
    pub leaving: Option<LeavingMode>,
}

impl Switches {
    /// Sets the switches that are present in a body.
    pub fn set(&mut self, body: &FaultBody) {
        self.fail_all = body.fail_all.unwrap_or(self.fail_all);
        self.delay_ms = body.delay_ms.unwrap_or(self.delay_ms);
        self.drop_answer = body.drop_answer.unwrap_or(self.drop_answer);
        self.leaving = body.leaving.or(self.leaving);
    }
}
