//! The fault switches of targets.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// The body of `POST /faults` on the control port: absent switches stay as they are.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultBody {
    /// The targets that are meant, or all.
    pub targets: Option<BTreeSet<String>>,
    /// Fails every task at once after its start.
    pub fail_all: Option<bool>,
    /// Delays the answer to every call.
    pub delay_ms: Option<u64>,
    /// Refuses new connections.
    pub refuse: Option<bool>,
    /// Runs tasks and answers nothing.
    pub drop_answer: Option<bool>,
    /// Passes nothing in either direction until it is switched off; tasks go on.
    pub freeze: Option<bool>,
    /// Carries nothing more on the connections that are open now; new ones work.
    pub silent: Option<bool>,
    /// Sets the target leaving, which lasts until it is restarted.
    pub leaving: Option<LeavingMode>,
    /// Kills the target with its tasks, connections and list entry, or restarts it.
    pub die: Option<bool>,
}

/// How a target leaves.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeavingMode {
    /// The list and `GET /live` say so, and starts are still accepted.
    Announce,
    /// Starts are turned away as well.
    Reject,
}

/// The switches of one target that concern its answers.
#[derive(Debug, Copy, Clone, Default)]
pub struct Switches {
    /// Whether every task fails at once.
    pub fail_all: bool,
    /// The delay of every answer.
    pub delay_ms: u64,
    /// Whether answers to tasks are dropped.
    pub drop_answer: bool,
    /// How the target is leaving, if it is.
    pub leaving: Option<LeavingMode>,
}

impl Switches {
    /// Sets the switches that are present.
    pub fn set(&mut self, body: &FaultBody) {
        self.fail_all = body.fail_all.unwrap_or(self.fail_all);
        self.delay_ms = body.delay_ms.unwrap_or(self.delay_ms);
        self.drop_answer = body.drop_answer.unwrap_or(self.drop_answer);
        self.leaving = body.leaving.or(self.leaving);
    }
}
