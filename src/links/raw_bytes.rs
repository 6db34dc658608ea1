//! Serde functions that encode a field of bytes as one byte string instead of a list
//! of numbers, for `#[serde(with)]`.

use std::fmt;

use serde::Deserializer;
use serde::Serializer;
use serde::de;

/// Serialises `bytes` as a byte string.
///
/// # Errors
///
/// The serialiser's own error.
pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// Deserialises a byte string.
///
/// # Errors
///
/// The deserialiser's own error, also when the value is not a byte string.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    deserializer.deserialize_byte_buf(BytesVisitor)
}

/// Accepts borrowed and owned byte strings.
struct BytesVisitor;

impl de::Visitor<'_> for BytesVisitor {
    type Value = Vec<u8>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a byte string")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
        Ok(bytes.to_vec())
    }

    fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
        Ok(bytes)
    }
}
