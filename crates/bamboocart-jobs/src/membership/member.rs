//! Instances as members of the store's group.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::{OptionExt, Snafu};

use crate::id::MemberId;

/// The result of parsing a member.
pub type Result<T, E = ParseMemberError> = std::result::Result<T, E>;

/// One incarnation of an instance, written as `name/failure domain/address/incarnation`.
///
/// The store's group knows members by this text only, so it has to contain everything
/// that peers need.
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
pub struct Member {
    /// The name of the instance, which all its incarnations share.
    pub name: Box<str>,
    /// The failure domain that the instance runs in.
    pub failure_domain: Box<str>,
    /// The address where it accepts links of peers.
    pub address: SocketAddr,
    /// When its process started, in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

impl Member {
    /// Returns the member's id in the store's group.
    pub fn id(&self) -> MemberId {
        MemberId::from(self.to_string().as_str())
    }
}

impl Display for Member {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { name, failure_domain, address, incarnation } = self;
        write!(f, "{name}/{failure_domain}/{address}/{incarnation}")
    }
}

impl FromStr for Member {
    type Err = ParseMemberError;

    fn from_str(text: &str) -> Result<Self> {
        let mut parts = text.split('/');
        let mut next = || parts.next().context(ParseMemberSnafu { text });
        Ok(Self {
            name: next()?.into(),
            failure_domain: next()?.into(),
            address: next()?.parse().ok().context(ParseMemberSnafu { text })?,
            incarnation: next()?.parse().ok().context(ParseMemberSnafu { text })?,
        })
    }
}

/// The error of parsing a text that is not a member.
#[derive(Debug, Clone, Eq, PartialEq, Snafu)]
#[snafu(display("`{text}` is not a member; use NAME/DOMAIN/IP:PORT/INCARNATION"))]
pub struct ParseMemberError {
    /// The text that was parsed.
    text: String,
}
