use serde::Deserialize;
use serde::Serialize;

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedRecord {
    /// Offset of the record.
    pub offset: u64,
    /// Its bytes; empty in place of a checkpoint when a peer passes it on.
    #[serde(with = "serde_bytes_vec")]
    pub bytes: Vec<u8>,
}

/// Records of the log in offset order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// Lowest offset the log still keeps.
    pub earliest: u64,
    /// Offset of the next append.
    pub next: u64,
    /// Records from the offset asked for.
    pub records: Vec<LoggedRecord>,
}

/// Encodes the bytes as one binary string.
mod serde_bytes_vec {
    use std::fmt;

    use serde::Deserializer;
    use serde::Serializer;
    use serde::de;

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        deserializer.deserialize_byte_buf(BytesVisitor)
    }

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
}
