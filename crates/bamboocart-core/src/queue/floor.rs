//! The shares of starts that are reserved for priorities.

/// The number of starts over which a floor is counted.
pub const FLOOR_WINDOW_STARTS: u32 = 100;

/// The share of starts that is reserved for a priority.
#[derive(Debug, Clone, Default)]
pub(super) struct Floor {
    percent: u32,
    /// The starts of the window so far.
    starts: u32,
    /// Those of them that went to the priority.
    own_starts: u32,
}

impl Floor {
    /// Sets the share, which is at most 100 percent.
    pub(super) fn set_percent(&mut self, percent: u8) {
        self.percent = u32::from(percent.min(100));
    }

    /// Returns how many starts may still pass before the floor is missed, if it is due.
    ///
    /// The reserved starts are spread over the window: the k-th is due from start
    /// `100 (k - 1) / percent` and late after start `100 k / percent`.
    pub(super) fn due_slack(&self) -> Option<u32> {
        if self.own_starts >= self.percent {
            return None;
        }
        let due_from = FLOOR_WINDOW_STARTS * self.own_starts / self.percent;
        let late_after =
            (FLOOR_WINDOW_STARTS * (self.own_starts + 1)).div_ceil(self.percent);
        (self.starts >= due_from).then(|| late_after.saturating_sub(self.starts))
    }

    /// Counts a start under contention.
    pub(super) fn count(&mut self, own: bool) {
        self.starts += 1;
        self.own_starts += u32::from(own);
        if self.starts >= FLOOR_WINDOW_STARTS {
            self.starts = 0;
            self.own_starts = 0;
        }
    }
}
