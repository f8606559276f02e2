//! Names and identifiers, with their text forms.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::Snafu;
use uuid::Uuid;

use crate::time::Timestamp;

/// The result of parsing an identifier.
pub type Result<T, E = ParseIdError> = std::result::Result<T, E>;

/// Defines newtypes for names over shared strings, which are cheap to clone.
macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<Arc<str>> for $name {
            fn from(text: Arc<str>) -> Self {
                Self(text)
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// The name of an instance, which all its incarnations share.
    InstanceName;
    /// The name of a failure domain.
    DomainName;
    /// The name of a customer, under which its quota is configured.
    CustomerName;
    /// The name of a request kind in the configuration.
    KindName;
    /// The name of a service in the configuration.
    ServiceName;
    /// The name of a priority in the configuration.
    PriorityName;
    /// The name of a target group in the configuration.
    GroupName;
    /// The name of a target, which is a minion or a worker.
    TargetName;
    /// The name of a stop plan in the configuration.
    StopPlanName;
    /// The name of a rack.
    RackName;
}

/// One run of an instance's process; later runs under the same name compare greater.
///
/// The value is the start time of the process in microseconds since the Unix epoch.
#[derive(
    Debug,
    Copy,
    Clone,
    Eq,
    PartialEq,
    Ord,
    PartialOrd,
    Hash,
    Default,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// The position of a task in its submission, from 0.
#[derive(
    Debug,
    Copy,
    Clone,
    Eq,
    PartialEq,
    Ord,
    PartialOrd,
    Hash,
    Default,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct TaskIndex(pub u16);

/// The number of a send of a task, from 1.
#[derive(
    Debug,
    Copy,
    Clone,
    Eq,
    PartialEq,
    Ord,
    PartialOrd,
    Hash,
    Default,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u8);

/// The version of a configuration: the log offset of its publication plus 1, or 0 for
/// none.
#[derive(
    Debug,
    Copy,
    Clone,
    Eq,
    PartialEq,
    Ord,
    PartialOrd,
    Hash,
    Default,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl Display for ConfigVersion {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An identifier that an instance issues, which names the incarnation that owns the
/// submission.
#[derive(Debug, Clone, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct Ticket {
    /// The failure domain of the issuer.
    pub domain: DomainName,
    /// The instance that issued the ticket.
    pub instance: InstanceName,
    /// The incarnation of the issuer, which owns the submission unless it hands it over.
    pub incarnation: Incarnation,
    /// The sequence number of the ticket within the incarnation.
    pub sequence: u64,
}

impl Ticket {
    /// Returns a 16-bit checksum that detects mistyped and truncated tickets.
    fn checksum(&self) -> u16 {
        let body = format!(
            "{}.{}.{:x}.{}",
            self.domain, self.instance, self.incarnation.0, self.sequence
        );
        let hash = blake3::hash(body.as_bytes());
        u16::from_le_bytes([hash.as_bytes()[0], hash.as_bytes()[1]])
    }
}

/// The identifier of a submission, which determines the instance that may start it.
#[derive(
    Debug,
    Clone,
    Eq,
    PartialEq,
    Ord,
    PartialOrd,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub enum SubmissionId {
    /// A ticket that an instance issued.
    Ticket(Ticket),
    /// A key that the caller generated, which is a UUID of version 7.
    CallerKey(Uuid),
}

impl SubmissionId {
    /// Returns the time in a caller's key, or `None` for a ticket.
    pub fn key_time(&self) -> Option<Timestamp> {
        match self {
            Self::Ticket(_) => None,
            Self::CallerKey(key) => key.get_timestamp().map(|time| {
                let (secs, nanos) = time.to_unix();
                Timestamp::from_us(secs * 1_000_000 + u64::from(nanos) / 1_000)
            }),
        }
    }
}

impl Display for SubmissionId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ticket(ticket) => write!(
                f,
                "t.{}.{}.{:x}.{}.{:04x}",
                ticket.domain,
                ticket.instance,
                ticket.incarnation.0,
                ticket.sequence,
                ticket.checksum()
            ),
            Self::CallerKey(key) => key.fmt(f),
        }
    }
}

impl FromStr for SubmissionId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self> {
        match text.strip_prefix("t.") {
            Some(body) => parse_ticket(body).map(Self::Ticket),
            None => parse_key(text).map(Self::CallerKey),
        }
    }
}

/// An error of parsing a submission id.
#[derive(Debug, Clone, Eq, PartialEq, Snafu)]
pub enum ParseIdError {
    /// The ticket has too few or too many parts.
    #[snafu(display(
        "the ticket has the wrong number of parts; send it as it was issued"
    ))]
    TicketParts,
    /// A number in the ticket cannot be parsed.
    #[snafu(display("the ticket holds an unreadable number; send it as it was issued"))]
    TicketNumber,
    /// The checksum does not match the other parts of the ticket.
    #[snafu(display("the ticket's checksum is wrong; send it as it was issued"))]
    TicketChecksum,
    /// The key is not a UUID of version 7.
    #[snafu(display("the submission id is neither a ticket nor a UUID of version 7"))]
    Key,
}

/// Parses the part of a ticket after its prefix.
fn parse_ticket(body: &str) -> Result<Ticket> {
    let parts: Vec<&str> = body.split('.').collect();
    let &[domain, instance, incarnation, sequence, checksum] = parts.as_slice() else {
        return TicketPartsSnafu.fail();
    };
    let number = |_| ParseIdError::TicketNumber;
    let ticket = Ticket {
        domain: domain.into(),
        instance: instance.into(),
        incarnation: Incarnation(u64::from_str_radix(incarnation, 16).map_err(number)?),
        sequence: sequence.parse().map_err(number)?,
    };
    match u16::from_str_radix(checksum, 16) {
        Ok(sum) if sum == ticket.checksum() => Ok(ticket),
        _ => TicketChecksumSnafu.fail(),
    }
}

/// Parses a caller's key, which has to be a UUID of version 7.
fn parse_key(text: &str) -> Result<Uuid> {
    match Uuid::parse_str(text) {
        Ok(key) if key.get_version_num() == 7 => Ok(key),
        _ => KeySnafu.fail(),
    }
}
