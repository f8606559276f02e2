//! The pause of a task whose starts minions answer as malformed.
//!
//! Such an answer is not the end of a run, so it counts as no attempt. The protocol does not
//! say whether it would be repeated: the task is started again without limit, but less and
//! less often, since other tasks need the minions.

use crate::holder::minion::MinionKey;
use crate::time::Moment;

/// The first pause, in milliseconds. It doubles with each further answer.
const FIRST_PAUSE_MS: u64 = 50;

/// The longest pause, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 1_000;

/// The starts of a task in a row that were answered as malformed.
#[derive(Debug, Clone, Default)]
pub(crate) struct StartBackoff {
    /// The number of starts.
    malformed: u32,
    /// The minion that rejected the last one.
    minion: Option<MinionKey>,
    /// The end of the pause.
    until: Moment,
}

impl StartBackoff {
    /// Records that a minion has answered a start as malformed.
    pub(crate) fn note_malformed(&mut self, minion: Option<MinionKey>, now: Moment) {
        let factor = 1_u64.checked_shl(self.malformed).unwrap_or(u64::MAX);
        let pause_ms = FIRST_PAUSE_MS.saturating_mul(factor).min(LONGEST_PAUSE_MS);
        self.malformed = self.malformed.saturating_add(1);
        self.minion = minion;
        self.until = now + pause_ms;
    }

    /// Returns whether the task may be started on a minion now. After the first rejection,
    /// any other minion may be tried at once.
    pub(crate) fn allows(&self, minion: MinionKey, now: Moment) -> bool {
        now >= self.until || !self.is_paused(now) && self.minion != Some(minion)
    }

    /// Returns whether the task may be started on no minion now.
    pub(crate) fn is_paused(&self, now: Moment) -> bool {
        self.malformed > 1 && now < self.until
    }
}
