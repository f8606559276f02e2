//! The gauges and counters that are set from the engine's status when metrics are read.

use bamboocart_core::engine::{GroupStatus, Status};
use bamboocart_core::membership::PeerState;
use bamboocart_telemetry::lines::LineSink;
use bamboocart_telemetry::metrics::{
    ACCOUNT_BUFFERED, ACCOUNT_DROPPED, CLAIM_AHEAD_SECONDS, CONFIG_VERSION,
    CUSTOMER_LABEL, DROPPED_ANSWERS, EJECTED_TARGETS, EJECTIONS, FREE_SLOTS,
    IN_FLIGHT_TASKS, LEASES_HELD, LINES_DROPPED, LIST_STALE, OPEN_SUBMISSIONS, PEERS,
    QUEUED_TASKS, REGISTRY_SUBMISSIONS, RUNNING_SENDS, SLOTS, TARGETS,
};
use metrics::{counter, gauge};

/// The label that names a target group.
const GROUP: &str = "group";

/// The label that names the state of a peer or target.
const STATE: &str = "state";

const MS_PER_SECOND: f64 = 1e3;

/// The states of peers with their label values.
///
/// Every state is set each time, so that none keeps an old value.
const PEER_STATES: [(PeerState, &str); 5] = [
    (PeerState::Learned, "learned"),
    (PeerState::Live, "live"),
    (PeerState::Suspect, "suspect"),
    (PeerState::Dead, "dead"),
    (PeerState::Returning, "returning"),
];

/// Sets the metrics that show an instance's state.
pub fn set_state(status: &Status) {
    gauge!(CONFIG_VERSION).set(status.config_version.0 as f64);
    gauge!(OPEN_SUBMISSIONS).set(status.open_submissions as f64);
    gauge!(RUNNING_SENDS).set(status.running as f64);
    gauge!(LIST_STALE).set(u8::from(status.list_is_stale));
    counter!(DROPPED_ANSWERS).absolute(status.late_answers);
    gauge!(REGISTRY_SUBMISSIONS).set(status.registry_submissions as f64);
    gauge!(LEASES_HELD).set(status.leases_held as f64);
    gauge!(CLAIM_AHEAD_SECONDS).set(status.claim_ahead_ms as f64 / MS_PER_SECOND);
    gauge!(ACCOUNT_BUFFERED).set(status.account_buffered as f64);
    counter!(ACCOUNT_DROPPED).absolute(status.account_dropped);
    for customer in &status.customers {
        gauge!(IN_FLIGHT_TASKS, CUSTOMER_LABEL => customer.name.to_string())
            .set(customer.in_flight);
    }
    for (state, name) in PEER_STATES {
        let count = status.peers.iter().filter(|peer| peer.state == state).count();
        gauge!(PEERS, STATE => name).set(count as f64);
    }
    status.groups.iter().for_each(|group| set_group(status, group));
}

/// Sets the gauges of a target group.
fn set_group(status: &Status, group: &GroupStatus) {
    let name = group.name.to_string();
    gauge!(QUEUED_TASKS, GROUP => name.clone()).set(group.queued as f64);
    gauge!(SLOTS, GROUP => name.clone()).set(group.slots);
    gauge!(FREE_SLOTS, GROUP => name.clone()).set(group.free_slots);
    gauge!(EJECTED_TARGETS, GROUP => name.clone()).set(group.ejected as f64);
    // Ejections are counted when the engine reports them. This only makes the counter
    // start at 0.
    counter!(EJECTIONS, GROUP => name.clone()).increment(0);
    for (retired, state) in [(false, "used"), (true, "retired")] {
        let of_group = status.targets.iter().filter(|target| target.group == group.name);
        let count = of_group.filter(|target| target.retired == retired).count();
        gauge!(TARGETS, GROUP => name.clone(), STATE => state).set(count as f64);
    }
}

/// Sets the number of dropped lines of each output.
pub fn set_dropped_lines(outputs: &[(&'static str, LineSink)]) {
    for (output, sink) in outputs {
        gauge!(LINES_DROPPED, "output" => *output).set(sink.dropped() as f64);
    }
}
