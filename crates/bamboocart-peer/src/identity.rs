//! Who is at the other end of a link.

use bamboocart_core::id::{Incarnation, InstanceName};
use http::{HeaderMap, HeaderValue};
use snafu::{OptionExt, Snafu};

/// The header with the name of the instance.
const INSTANCE_HEADER: &str = "x-bamboocart-instance";

/// The header with the incarnation.
const INCARNATION_HEADER: &str = "x-bamboocart-incarnation";

/// The longest name of an instance in a header.
const MAX_NAME_BYTES: usize = 128;

/// One run of an instance.
#[derive(Debug, Clone, Eq, PartialEq, Hash)]
pub struct PeerIdentity {
    /// The name of the instance.
    pub instance: InstanceName,
    /// The run of its process.
    pub incarnation: Incarnation,
}

impl PeerIdentity {
    /// Reads the identity from the headers of a message or of its answer.
    pub(crate) fn read(headers: &HeaderMap) -> Result<Self, IdentityError> {
        let name = text(headers, INSTANCE_HEADER)?;
        let incarnation = text(headers, INCARNATION_HEADER)?;
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return UnusableSnafu { header: INSTANCE_HEADER }.fail();
        }
        let incarnation = incarnation
            .parse()
            .ok()
            .context(UnusableSnafu { header: INCARNATION_HEADER })?;
        Ok(Self { instance: name.into(), incarnation: Incarnation(incarnation) })
    }

    /// Returns the headers that carry this identity.
    pub(crate) fn headers(&self) -> Result<HeaderMap, IdentityError> {
        let name = self.instance.as_str();
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return UnusableSnafu { header: INSTANCE_HEADER }.fail();
        }
        let name = HeaderValue::from_str(name)
            .ok()
            .context(UnusableSnafu { header: INSTANCE_HEADER })?;
        let mut headers = HeaderMap::with_capacity(4);
        headers.insert(INSTANCE_HEADER, name);
        headers.insert(INCARNATION_HEADER, self.incarnation.0.into());
        Ok(headers)
    }
}

/// Why an identity cannot be read or written.
#[derive(Debug, Clone, Eq, PartialEq, Snafu)]
pub enum IdentityError {
    /// A header is absent.
    #[snafu(display("the header {header} is missing; send it with every message"))]
    Missing {
        /// The name of the header.
        header: &'static str,
    },
    /// A header is not visible ASCII, too long, empty or not a number.
    #[snafu(display(
        "the header {header} is unusable; use 1 to 128 visible ASCII characters for an \
         instance and a decimal number for an incarnation"
    ))]
    Unusable {
        /// The name of the header.
        header: &'static str,
    },
}

/// Returns a header as text.
fn text<'a>(
    headers: &'a HeaderMap,
    header: &'static str,
) -> Result<&'a str, IdentityError> {
    let value = headers.get(header).context(MissingSnafu { header })?;
    value.to_str().ok().context(UnusableSnafu { header })
}
