//! The identity of an instance, as message headers transport it.

use bamboocart_core::id::{Incarnation, InstanceName};
use http::{HeaderMap, HeaderValue};
use snafu::{OptionExt, Snafu};

/// The header that contains the name of the instance.
const INSTANCE_HEADER: &str = "x-bamboocart-instance";

/// The header that contains the incarnation as a decimal number.
const INCARNATION_HEADER: &str = "x-bamboocart-incarnation";

/// The longest instance name that a header may contain.
const MAX_NAME_BYTES: usize = 128;

/// One incarnation of an instance.
#[derive(Debug, Clone, Eq, PartialEq, Hash)]
pub struct PeerIdentity {
    /// The name, 1 to 128 visible ASCII characters.
    pub instance: InstanceName,
    /// Which process of the instance this is.
    pub incarnation: Incarnation,
}

impl PeerIdentity {
    /// Parses the identity from the headers of a message or its response.
    pub(crate) fn from_headers(headers: &HeaderMap) -> Result<Self, IdentityError> {
        let name = header_str(headers, INSTANCE_HEADER)?;
        let incarnation = header_str(headers, INCARNATION_HEADER)?;
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return InvalidSnafu { header: INSTANCE_HEADER }.fail();
        }
        let incarnation = incarnation
            .parse()
            .ok()
            .context(InvalidSnafu { header: INCARNATION_HEADER })?;
        Ok(Self { instance: name.into(), incarnation: Incarnation(incarnation) })
    }

    /// Encodes this identity as headers.
    pub(crate) fn to_headers(&self) -> Result<HeaderMap, IdentityError> {
        let name = self.instance.as_str();
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return InvalidSnafu { header: INSTANCE_HEADER }.fail();
        }
        let name = HeaderValue::from_str(name)
            .ok()
            .context(InvalidSnafu { header: INSTANCE_HEADER })?;
        let mut headers = HeaderMap::with_capacity(4);
        headers.insert(INSTANCE_HEADER, name);
        headers.insert(INCARNATION_HEADER, self.incarnation.0.into());
        Ok(headers)
    }
}

/// Why an identity cannot be parsed or encoded.
#[derive(Debug, Clone, Eq, PartialEq, Snafu)]
pub enum IdentityError {
    /// A required header is missing.
    #[snafu(display("the header {header} is missing; send it with every message"))]
    Missing {
        /// The header that the message lacks.
        header: &'static str,
    },
    /// A header is empty, too long, not visible ASCII or not a number.
    #[snafu(display(
        "the header {header} is invalid; use 1 to 128 visible ASCII characters for an \
         instance and a decimal number for an incarnation"
    ))]
    Invalid {
        /// The header with the invalid value.
        header: &'static str,
    },
}

/// Returns the value of a header as a string.
fn header_str<'a>(
    headers: &'a HeaderMap,
    header: &'static str,
) -> Result<&'a str, IdentityError> {
    let value = headers.get(header).context(MissingSnafu { header })?;
    value.to_str().ok().context(InvalidSnafu { header })
}
