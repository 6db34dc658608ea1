use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Fencing number of an order to an engine; a later order has a greater number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FencingNumber {
    /// Offset of the configuration that the order follows from.
    pub offset: u64,
    /// Incarnation of the endpoint process that sends the order.
    pub incarnation: u64,
    /// Number of the order within that incarnation.
    pub sequence: u64,
}

impl fmt::Display for FencingNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.offset, self.incarnation, self.sequence)
    }
}
