//! The configuration objects that operators publish.

mod object;

pub use self::object::{
    ConfigSet, Priority, Quota, RequestKind, Resend, Role, Service, StopPlan, TargetGroup,
};
