//! Canonical encodings of a configuration set.

use snafu::{ResultExt, Snafu};

use super::ConfigSet;

/// The result of encoding a set.
type Result<T, E = EncodeError> = std::result::Result<T, E>;

/// The maximum size of a set, measured as canonical JSON; larger sets are rejected.
pub const MAX_SET_BYTES: usize = 4 * 1024 * 1024;

impl ConfigSet {
    /// Encodes the set as compact JSON with sorted names; equal sets have equal text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self)
            .expect("a set contains only string keys and plain values")
    }

    /// Encodes the set as TOML with sorted names; equal sets have equal text.
    pub fn to_toml(&self) -> Result<String> {
        toml::to_string(self).context(TomlSnafu)
    }
}

/// Why a set cannot be encoded.
#[derive(Debug, Snafu)]
pub enum EncodeError {
    /// A number is outside the range of TOML integers.
    #[snafu(display(
        "the set cannot be encoded as TOML: {source}; correct the set or use JSON"
    ))]
    Toml {
        /// The error of the TOML serializer.
        source: toml::ser::Error,
    },
}
