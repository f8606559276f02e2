//! Converts TOML values to the types of fields.

use toml_span::Value;

use crate::config::{Resend, Role};
use crate::id::{
    DomainName, GroupName, InstanceName, PriorityName, ServiceName, StopPlanName,
    TargetName,
};

/// A type that a field can have.
pub(super) trait FromToml: Sized {
    /// A description of valid values, for remedies.
    const EXPECTED: &'static str;

    /// Converts a value, or returns `None` if it has the wrong type or is out of range.
    fn from_toml(value: &Value<'_>) -> Option<Self>;
}

/// Implements [`FromToml`] for whole numbers.
macro_rules! numbers {
    ($($type:ty: $expected:literal;)*) => {$(
        impl FromToml for $type {
            const EXPECTED: &'static str = $expected;

            fn from_toml(value: &Value<'_>) -> Option<Self> {
                value.as_integer()?.try_into().ok()
            }
        }
    )*};
}

numbers! {
    u8: "a whole number from 0 to 255";
    u32: "a whole number from 0 to 4294967295";
    u64: "a whole number from 0";
}

/// Implements [`FromToml`] for names.
macro_rules! names {
    ($($type:ty)*) => {$(
        impl FromToml for $type {
            const EXPECTED: &'static str = "a name in quotes";

            fn from_toml(value: &Value<'_>) -> Option<Self> {
                value.as_str().map(Self::from)
            }
        }
    )*};
}

names! { DomainName GroupName InstanceName PriorityName ServiceName StopPlanName TargetName }

impl FromToml for bool {
    const EXPECTED: &'static str = "true or false";

    fn from_toml(value: &Value<'_>) -> Option<Self> {
        value.as_bool()
    }
}

impl FromToml for Resend {
    const EXPECTED: &'static str = "\"never\" or \"budgeted\"";

    fn from_toml(value: &Value<'_>) -> Option<Self> {
        match value.as_str()? {
            "never" => Some(Self::Never),
            "budgeted" => Some(Self::Budgeted),
            _ => None,
        }
    }
}

impl FromToml for Role {
    const EXPECTED: &'static str = "\"minion\" or \"worker\"";

    fn from_toml(value: &Value<'_>) -> Option<Self> {
        match value.as_str()? {
            "minion" => Some(Self::Minion),
            "worker" => Some(Self::Worker),
            _ => None,
        }
    }
}

impl<T: FromToml> FromToml for Option<T> {
    const EXPECTED: &'static str = T::EXPECTED;

    fn from_toml(value: &Value<'_>) -> Option<Self> {
        T::from_toml(value).map(Some)
    }
}

impl<T: FromToml> FromToml for Vec<T> {
    const EXPECTED: &'static str = "a list of names in quotes";

    fn from_toml(value: &Value<'_>) -> Option<Self> {
        value.as_array()?.iter().map(T::from_toml).collect()
    }
}
