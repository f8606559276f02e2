//! A `serde_with` adapter that writes bytes as a JSON string.

use bytes::Bytes;
use serde::de::Error as _;
use serde::ser::Error as _;
use serde::{Deserialize, Deserializer, Serializer};
use serde_with::{DeserializeAs, SerializeAs};

/// Serializes bytes as a UTF-8 string; bytes that are not UTF-8 are an error.
pub struct Utf8;

impl SerializeAs<Bytes> for Utf8 {
    fn serialize_as<S: Serializer>(
        source: &Bytes,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let text = std::str::from_utf8(source).map_err(S::Error::custom)?;
        serializer.serialize_str(text)
    }
}

impl<'de> DeserializeAs<'de, Bytes> for Utf8 {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(deserializer).map_err(D::Error::custom)?;
        Ok(Bytes::from(text))
    }
}
