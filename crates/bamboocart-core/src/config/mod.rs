//! The configuration that operators publish: its objects, checks and versions.

mod check;
mod diff;
mod encode;
mod fault;
mod object;
mod position;
mod reader;
mod record;
mod replay;
mod rules;
mod section;

pub use self::check::{Finding, SourceFile, check, check_set};
pub use self::diff::{Change, ChangeKind, FieldChange, diff};
pub use self::encode::{EncodeError, MAX_SET_BYTES};
pub use self::fault::{Fault, ObjectPath};
pub use self::object::{
    ConfigSet, Priority, Quota, RequestKind, Resend, Role, Service, StopPlan, TargetGroup,
};
pub use self::position::LogPosition;
pub use self::record::{
    CONFIG_STREAM, ConfigRecord, MAX_RECORD_BYTES, Publication, PublicationId,
    RecordFault, Snapshot,
};
pub use self::replay::{
    ApplyResult, ConfigReplay, PeerOfferResult, RECENT_RECORDS, VersionedSet,
};
pub use self::section::Section;
