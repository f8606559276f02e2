//! The types of configuration objects.

use std::fmt::{self, Display, Formatter};

use serde::Serialize;

/// The type of a configuration object; its name is that of the TOML table.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Section {
    /// The services; see [`Service`](super::Service).
    Service,
    /// The request kinds; see [`RequestKind`](super::RequestKind).
    RequestKind,
    /// The priorities; see [`Priority`](super::Priority).
    Priority,
    /// The target groups; see [`TargetGroup`](super::TargetGroup).
    TargetGroup,
    /// The stop plans; see [`StopPlan`](super::StopPlan).
    StopPlan,
    /// The quotas of customers; see [`Quota`](super::Quota).
    Quota,
}

impl Section {
    /// All types, in the order in which they are listed in messages.
    pub const ALL: [Self; 6] = [
        Self::Service,
        Self::RequestKind,
        Self::Priority,
        Self::TargetGroup,
        Self::StopPlan,
        Self::Quota,
    ];

    /// Returns the name of the TOML table.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::RequestKind => "request_kind",
            Self::Priority => "priority",
            Self::TargetGroup => "target_group",
            Self::StopPlan => "stop_plan",
            Self::Quota => "quota",
        }
    }

    /// Returns the type with the given table name, or `None` if there is none.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|section| section.name() == name)
    }
}

impl Display for Section {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
