//! The types of configuration objects.

use std::fmt::{self, Display, Formatter};

use serde::Serialize;

/// The type of a configuration object, which is also the name of its TOML table.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Section {
    /// A service.
    Service,
    /// A request kind.
    RequestKind,
    /// A priority.
    Priority,
    /// A target group.
    TargetGroup,
    /// A stop plan.
    StopPlan,
    /// A quota.
    Quota,
}

impl Section {
    /// Every type, in the order in which objects are read.
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

    /// Returns the type with the given table name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|section| section.name() == name)
    }
}

impl Display for Section {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
