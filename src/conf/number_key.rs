use std::fmt;
use std::ops::RangeInclusive;

/// Unit of a numeric key; the key's name ends with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Number of items, such as slots.
    Count,
    /// Milliseconds.
    Milliseconds,
    /// Bytes.
    Bytes,
    /// Bytes per second.
    BytesPerSecond,
    /// Percent.
    Percent,
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Count => "a whole number",
            Self::Milliseconds => "a whole number of milliseconds",
            Self::Bytes => "a whole number of bytes",
            Self::BytesPerSecond => "a whole number of bytes a second",
            Self::Percent => "a whole number of percent",
        })
    }
}

/// Numeric key of a settings file, with its unit, range and default.
#[derive(Debug, Clone)]
pub struct NumberKey {
    /// Name of the key.
    pub key: &'static str,
    /// Unit of the values.
    pub unit: Unit,
    /// Accepted values.
    pub range: RangeInclusive<u64>,
    /// Value when the key is absent.
    pub default: u64,
}

impl NumberKey {
    /// Description of the accepted values, for messages.
    pub fn allowed(&self) -> String {
        let (low, high) = (self.range.start(), self.range.end());
        format!("{} from {low} to {high}, digits only", self.unit)
    }
}
