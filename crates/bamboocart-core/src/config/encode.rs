//! Canonical encodings of a set.

use snafu::{ResultExt, Snafu};

use super::ConfigSet;

/// The result of encoding a set.
type Result<T, E = EncodeError> = std::result::Result<T, E>;

/// The largest size of a set in bytes of its canonical JSON text; larger ones are refused.
pub const MAX_SET_BYTES: usize = 4 * 1024 * 1024;

impl ConfigSet {
    /// Returns the set as compact JSON with sorted names; equal sets give equal text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a set has text keys and plain values only")
    }

    /// Returns the set as TOML with sorted names; equal sets give equal text.
    pub fn to_toml(&self) -> Result<String> {
        toml::to_string(self).context(TomlSnafu)
    }
}

/// Why a set has no TOML text.
#[derive(Debug, Snafu)]
pub enum EncodeError {
    /// A number is beyond the range of TOML.
    #[snafu(display("the set has no TOML form: {source}; correct it or use JSON"))]
    Toml {
        /// The cause.
        source: toml::ser::Error,
    },
}
