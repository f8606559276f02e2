//! The configuration objects that operators publish.

mod check;
mod diff;
mod encode;
mod fault;
mod fold;
mod object;
mod position;
mod reader;
mod record;
mod rules;
mod section;

pub use self::check::{Finding, SourceFile, check, check_set};
pub use self::diff::{Change, ChangeKind, FieldChange, diff};
pub use self::encode::{EncodeError, MAX_SET_BYTES};
pub use self::fault::{Fault, Spot};
pub use self::fold::{Fold, Folded, Heard, InForce, RECENT_RECORDS};
pub use self::object::{
    ConfigSet, Priority, Quota, RequestKind, Resend, Role, Service, StopPlan, TargetGroup,
};
pub use self::position::LogPosition;
pub use self::record::{
    CONFIG_STREAM, ConfigRecord, MAX_RECORD_BYTES, Publication, PublicationId,
    RecordFault, Snapshot,
};
pub use self::section::Section;
