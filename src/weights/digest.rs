use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;

/// Length of a digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// Hexadecimal digits of the short form of a digest.
const SHORT_DIGITS: usize = 12;

/// BLAKE3 digest of a byte string.
///
/// Serialises as 64 hexadecimal digits in text formats and as 32 raw bytes in
/// binary formats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of_bytes(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Returns the raw bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }

    /// Returns the first eight bytes, as a seed.
    pub fn seed(&self) -> u64 {
        let first = self
            .0
            .first_chunk()
            .expect("a digest is longer than a seed");
        u64::from_be_bytes(*first)
    }

    /// Returns the leading hexadecimal digits, for logs and messages.
    pub fn short_hex(&self) -> String {
        self.to_string()[..SHORT_DIGITS].to_owned()
    }
}

impl From<blake3::Hash> for Digest {
    fn from(hash: blake3::Hash) -> Self {
        Self(*hash.as_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

/// Error of parsing a text that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DigestError {
    text: String,
}

impl fmt::Display for DigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not a digest of 64 hexadecimal digits",
            self.text
        )
    }
}

impl std::error::Error for DigestError {}

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        blake3::Hash::from_hex(text)
            .map(Self::from)
            .map_err(|_| DigestError {
                text: text.to_owned(),
            })
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            serializer.serialize_bytes(&self.0)
        }
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            deserializer.deserialize_str(DigestVisitor)
        } else {
            deserializer.deserialize_bytes(DigestVisitor)
        }
    }
}

struct DigestVisitor;

impl de::Visitor<'_> for DigestVisitor {
    type Value = Digest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a digest of 32 bytes or 64 hexadecimal digits")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Digest, E> {
        text.parse().map_err(E::custom)
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Digest, E> {
        <[u8; DIGEST_BYTES]>::try_from(bytes)
            .map(Digest)
            .map_err(|_| E::invalid_length(bytes.len(), &self))
    }
}
