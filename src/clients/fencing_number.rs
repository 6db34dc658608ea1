use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Fencing number of an order to an engine; a later order compares greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FencingNumber {
    /// Configuration offset the order follows from.
    pub offset: u64,
    /// Incarnation of the endpoint process that gives it.
    pub incarnation: u64,
    /// Position among the orders of that incarnation.
    pub sequence: u64,
}

impl fmt::Display for FencingNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.offset, self.incarnation, self.sequence)
    }
}
