use serde::Deserialize;
use serde::Serialize;

/// Answer of a service, kept for further sends of the same permit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status of the service.
    pub status: u16,
    /// Whole body.
    #[serde(with = "raw_bytes")]
    pub body: Vec<u8>,
}

/// Encodes a byte string as one, where serde's default is a list of numbers.
mod raw_bytes {
    use std::fmt;

    use serde::Deserializer;
    use serde::Serializer;
    use serde::de;

    pub(super) fn serialize<S: Serializer>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(body)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        deserializer.deserialize_byte_buf(BodyVisitor)
    }

    struct BodyVisitor;

    impl de::Visitor<'_> for BodyVisitor {
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
