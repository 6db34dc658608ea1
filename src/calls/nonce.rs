use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;

/// Length of a nonce as text, in hexadecimal digits.
const NONCE_DIGITS: usize = 32;

/// Random 128-bit number that identifies one call.
///
/// Serialises as 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Nonce(u128);

impl Nonce {
    /// A nonce from the thread's random generator, which the operating system seeds.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// The nonce as bytes, most significant first.
    pub fn to_bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }
}

impl From<u128> for Nonce {
    fn from(number: u128) -> Self {
        Self(number)
    }
}

impl fmt::Display for Nonce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Error for a text that is not a nonce.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NonceError {
    text: String,
}

impl fmt::Display for NonceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not a nonce of {NONCE_DIGITS} hexadecimal digits",
            self.text
        )
    }
}

impl std::error::Error for NonceError {}

impl FromStr for Nonce {
    type Err = NonceError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.len() == NONCE_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
        digits
            .then(|| u128::from_str_radix(text, 16).ok())
            .flatten()
            .map(Self)
            .ok_or_else(|| NonceError {
                text: text.to_owned(),
            })
    }
}

impl Serialize for Nonce {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Nonce {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
