use crate::staging::EngineReport;

/// Largest age of a check of a staged piece when the engine is ordered to load it, in ms:
/// half of the 3 s for which a spoilt piece may go unnoticed, as the order takes time too.
const MAX_CHECK_AGE_MS: i64 = 1_500;

/// Result of a pass over the staging area that found every piece of a version valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckedPieces {
    /// Start of the incarnation of the engine before the pass, in Unix ms.
    pub born_unix_ms: Option<u64>,
    /// Orders that the engine had accepted before the pass.
    pub orders: u64,
    /// Monotonic time at which the first piece was read, in ms.
    pub started_ms: i64,
    /// Monotonic time at which the pass ended, in ms.
    pub ended_ms: i64,
}

impl CheckedPieces {
    /// Returns whether the engine may be ordered to load the pieces at `now_ms`.
    ///
    /// A restart of the engine may have emptied its staging area, and pieces may have been
    /// spoilt since they were read.
    pub fn is_current(&self, report: &EngineReport, now_ms: i64) -> bool {
        self.is_same_engine(report) && now_ms - self.started_ms <= MAX_CHECK_AGE_MS
    }

    /// Returns whether the pass has just ended, however long it took, and the engine is the
    /// same.
    pub fn has_just_ended(&self, report: &EngineReport, now_ms: i64) -> bool {
        self.is_same_engine(report) && now_ms - self.ended_ms <= MAX_CHECK_AGE_MS
    }

    /// Returns whether the engine has neither restarted nor accepted an order since.
    fn is_same_engine(&self, report: &EngineReport) -> bool {
        report.born_unix_ms == self.born_unix_ms && report.orders == self.orders
    }
}
