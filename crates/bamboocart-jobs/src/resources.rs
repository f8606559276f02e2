//! The resources that tasks require and minions offer.

use serde::{Deserialize, Serialize};

/// An amount of processors, memory and accelerators.
#[derive(Debug, Default, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// Processors, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub gpu_count: u32,
}

impl Resources {
    /// Returns whether this amount fits into `available` in every dimension.
    pub fn fits(self, available: Self) -> bool {
        self.cpu_millicores <= available.cpu_millicores
            && self.memory_mb <= available.memory_mb
            && self.gpu_count <= available.gpu_count
    }

    /// Returns how many times this amount fits into `available`.
    pub(crate) fn times_in(self, available: Self) -> u32 {
        let pairs = [
            (self.cpu_millicores, available.cpu_millicores),
            (self.memory_mb, available.memory_mb),
            (self.gpu_count, available.gpu_count),
        ];
        let times = pairs.into_iter().filter_map(|(each, all)| all.checked_div(each));
        times.min().unwrap_or(u32::MAX)
    }

    /// Returns the sum of two amounts, saturating in each dimension.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_add(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpu_count: self.gpu_count.saturating_add(other.gpu_count),
        }
    }

    /// Returns this amount less `other`, with a minimum of zero in each dimension.
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpu_count: self.gpu_count.saturating_sub(other.gpu_count),
        }
    }
}
