/// Bits of a packed position that hold the offset.
const OFFSET_BITS: u32 = 40;

/// Latest era that counts: a store does not come back from a copy more often.
const MAX_ERA: u64 = 65_535;

/// Position in a topic of the platform's log.
///
/// The store may come back from an older copy of itself. Offsets then start again from
/// the end of the copy, and the era rises: positions are ordered by era, then by offset.
/// Processes exchange positions packed into one number, which in the first era is the
/// plain offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// Number of times that the store has come back from an older copy.
    pub era: u64,
    /// Offset in the log, less than 2^40.
    pub offset: u64,
}

impl LogPosition {
    /// Position whose packed form is `packed`.
    pub fn unpack(packed: u64) -> Self {
        Self {
            era: packed >> OFFSET_BITS,
            offset: packed & ((1 << OFFSET_BITS) - 1),
        }
    }

    /// Whether a store can have reached it. A position that none reaches must not be taken
    /// over: nothing that the store has follows it.
    pub fn is_plausible(self) -> bool {
        self.era <= MAX_ERA
    }

    /// The position as one number, with the same order.
    pub fn pack(self) -> u64 {
        (self.era << OFFSET_BITS) | self.offset
    }
}
