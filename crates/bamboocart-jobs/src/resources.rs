//! What a task needs and a minion has.

use serde::{Deserialize, Serialize};

/// An amount of processors, memory and accelerators.
#[derive(Debug, Default, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// Processors, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Memory.
    pub memory_mb: u32,
    /// Accelerators.
    pub gpu_count: u32,
}

impl Resources {
    /// Returns whether this amount is within `room`.
    pub fn fits(self, room: Self) -> bool {
        self.cpu_millicores <= room.cpu_millicores
            && self.memory_mb <= room.memory_mb
            && self.gpu_count <= room.gpu_count
    }

    /// Returns the sum of two amounts.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_add(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpu_count: self.gpu_count.saturating_add(other.gpu_count),
        }
    }

    /// Returns what is left after `other` is taken away, at least nothing.
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpu_count: self.gpu_count.saturating_sub(other.gpu_count),
        }
    }
}
