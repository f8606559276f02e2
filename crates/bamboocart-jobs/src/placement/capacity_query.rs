//! The query of the free capacity of a peer that is no neighbour.

use crate::time::Moment;

/// How long a peer is asked to report after the query or its last use. The first report
/// arrives after a round trip; the next ones tell when runs end.
const OPEN_MS: u64 = 300;

/// The pause after the first of several queries in a row that placed no task. It doubles
/// with each further one.
const FIRST_PAUSE_MS: u64 = 100;

/// The longest pause after a query that placed no task.
const LONGEST_PAUSE_MS: u64 = 1_600;

/// The query of one peer.
#[derive(Debug, Default, Copy, Clone)]
pub(crate) struct CapacityQuery {
    state: QueryState,
    /// The pause after the last query; 0 if it has placed a task.
    pause_ms: u64,
}

/// The state of a query.
#[derive(Debug, Copy, Clone)]
enum QueryState {
    /// The peer is not asked, and may be from a time on.
    Closed {
        /// The earliest time of the next query.
        not_before: Moment,
    },
    /// The peer is asked to report its free capacity.
    Open {
        /// When it is no longer asked, unless a task is placed there before.
        until: Moment,
        /// Whether a task was placed there since.
        used: bool,
    },
}

impl Default for QueryState {
    fn default() -> Self {
        Self::Closed { not_before: Moment::default() }
    }
}

impl CapacityQuery {
    /// Returns whether the peer is asked to report its free capacity.
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.state, QueryState::Open { .. })
    }

    /// Returns whether a query may be opened now.
    pub(crate) fn may_open(&self, now: Moment) -> bool {
        matches!(self.state, QueryState::Closed { not_before } if not_before <= now)
    }

    /// Opens the query.
    pub(crate) fn open(&mut self, now: Moment) {
        self.state = QueryState::Open { until: now + OPEN_MS, used: false };
    }

    /// Records that a task is placed at the peer, which keeps the query open, and returns
    /// whether it is the first one since the query was opened.
    pub(crate) fn note_use(&mut self, now: Moment) -> bool {
        let QueryState::Open { used, .. } = self.state else { return false };
        self.state = QueryState::Open { until: now + OPEN_MS, used: true };
        !used
    }

    /// Closes the query if its time is over. One that has placed no task is not repeated at
    /// once: the peer probably has no room for what waits here.
    pub(crate) fn expire(&mut self, now: Moment) {
        let QueryState::Open { until, used } = self.state else { return };
        if until > now {
            return;
        }
        self.pause_ms = match used {
            true => 0,
            false => (2 * self.pause_ms).clamp(FIRST_PAUSE_MS, LONGEST_PAUSE_MS),
        };
        self.state = QueryState::Closed { not_before: now + self.pause_ms };
    }
}
