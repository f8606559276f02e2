//! The minimum shares of starts that are reserved for priorities.

/// The number of starts under contention in the window over which a floor is counted.
pub const FLOOR_WINDOW_STARTS: u32 = 100;

/// The minimum share of starts that is reserved for a priority.
#[derive(Debug, Clone, Default)]
pub(super) struct Floor {
    percent: u32,
    /// The starts under contention in the current window.
    starts: u32,
    /// The number of `starts` that went to the priority.
    priority_starts: u32,
}

impl Floor {
    /// Sets the share in percent; values above 100 count as 100.
    pub(super) fn set_percent(&mut self, percent: u8) {
        self.percent = u32::from(percent.min(100));
    }

    /// Returns the number of starts within which the next reserved one has to happen, or
    /// `None` if none is due.
    ///
    /// The reserved starts are spread over the window: the k-th is due from start
    /// `100 (k - 1) / percent` and late after start `100 k / percent`.
    pub(super) fn due_slack(&self) -> Option<u32> {
        if self.priority_starts >= self.percent {
            return None;
        }
        let due_from = FLOOR_WINDOW_STARTS * self.priority_starts / self.percent;
        let late_after =
            (FLOOR_WINDOW_STARTS * (self.priority_starts + 1)).div_ceil(self.percent);
        (self.starts >= due_from).then(|| late_after.saturating_sub(self.starts))
    }

    /// Counts a start under contention, where `own` tells whether it went to the
    /// priority.
    pub(super) fn count(&mut self, own: bool) {
        self.starts += 1;
        self.priority_starts += u32::from(own);
        if self.starts >= FLOOR_WINDOW_STARTS {
            self.starts = 0;
            self.priority_starts = 0;
        }
    }
}
