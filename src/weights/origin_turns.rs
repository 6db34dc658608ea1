//! When the pieces of a declared version are read from the origin.
//!
//! Handles the load of two versions that are declared within a few seconds of each other
//! while the origin fails in between. Its link carries one copy after the other in time, and
//! two at once complete both late. So each version has a span of the link, in the order of
//! the declarations; a version of which less than half is read when the next one is declared
//! gives its span up, as hosts skip it. A piece has the same place in the span at every
//! reader, so readers that don't talk to each other read the pieces in one order.
//!
//! When the origin fails, the rest of the earlier version is requested again at short
//! intervals, and the span of the later one begins once the earlier is complete, or at the
//! last moment at which it can still be complete before its own deadline. So when the origin
//! is back, the few missing pieces of the earlier version do not wait behind a whole copy of
//! the later. Failed reads of the newest version are repeated in turns of the time that its
//! missing part needs, and in turns of a whole copy while the earlier one is incomplete.

/// Pause before a piece is requested again after its read failed, in ms.
const RETRY_PAUSE_MS: i64 = 200;

/// Failed attempts at a piece of a later version that are repeated at once: single reads also
/// fail while the origin is available.
const QUICK_RETRIES: u32 = 1;

/// Time from the last read of a version until an engine that loads it serves, in ms: the host
/// fetches the last pieces, checks them and orders the load.
const LOAD_TIME_MS: i64 = 1_500;

/// Time between the last read of a version and its deadline that is reserved, in ms, when its
/// span has to begin before the earlier version is complete: the hosts fetch the last pieces,
/// check them, and announce and order the load, which takes 0.3 s.
const LAST_RESERVE_MS: i64 = 800;

/// A version of one model that was declared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeclaredVersion {
    /// Version of the weights.
    pub version: u64,
    /// Monotonic time of its declaration, in ms.
    pub declared_ms: i64,
    /// Monotonic time at which all of it was found to have been read, in ms.
    pub complete_ms: Option<i64>,
}

/// Order in which the declared versions of one model are read from the origin.
#[derive(Debug, Clone, Copy)]
pub struct OriginTurns<'a> {
    /// Declared versions, ascending.
    pub declared: &'a [DeclaredVersion],
    /// Time that one copy occupies the origin's link, in ms.
    pub copy_ms: i64,
    /// Time after its declaration within which a version must serve every request, in ms.
    pub apply_ms: i64,
}

/// Span of the origin's link that one version has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionSpan {
    /// Monotonic time at which it begins, in ms.
    pub begin_ms: i64,
    /// Time that one copy occupies the link, in ms.
    pub copy_ms: i64,
    /// Monotonic time until which an earlier version is read first, in ms, if there is one.
    pub behind_until_ms: Option<i64>,
    /// Whether a later version waits until this one is complete.
    pub is_awaited: bool,
}

impl OriginTurns<'_> {
    /// Span of `version`; None if it is not to be read any more.
    pub fn span(&self, version: u64, now_ms: i64) -> Option<VersionSpan> {
        let mut free_ms = i64::MIN;
        let mut behind_until_ms = None;
        let mut earlier_complete_ms = None;
        for (index, declared) in self.declared.iter().enumerate() {
            if declared.version > version {
                break;
            }
            let later = self.declared.get(index + 1);
            let due_ms = declared.declared_ms + self.apply_ms;
            let mut begin_ms = declared.declared_ms.max(free_ms);
            if let Some(until_ms) = behind_until_ms {
                let last_ms = (due_ms - self.copy_ms - LAST_RESERVE_MS).min(until_ms);
                let earlier_ms = earlier_complete_ms.unwrap_or(i64::MAX);
                begin_ms = begin_ms.max(last_ms.min(earlier_ms));
            }
            let is_skipped = later.is_some_and(|later| {
                later.declared_ms < begin_ms + self.copy_ms / 2
                    && later.declared_ms + self.copy_ms + LOAD_TIME_MS <= due_ms
            });
            if declared.version == version {
                let is_given_up = later.is_some() && (is_skipped || now_ms >= due_ms);
                return (!is_given_up).then_some(VersionSpan {
                    begin_ms,
                    copy_ms: self.copy_ms,
                    behind_until_ms: behind_until_ms.filter(|_| earlier_complete_ms.is_none()),
                    is_awaited: later.is_some(),
                });
            }
            if !is_skipped {
                free_ms = begin_ms + self.copy_ms;
                // An earlier version that was read before this one came up is out of the way.
                let is_shared = self.declared[index + 1..]
                    .iter()
                    .any(|later| later.version <= version && later.declared_ms < free_ms);
                behind_until_ms = is_shared.then_some(due_ms);
                earlier_complete_ms = declared.complete_ms;
                if let Some(complete_ms) = earlier_complete_ms {
                    free_ms = free_ms.min(complete_ms);
                }
            }
        }
        // A version that was declared before this process knew of any, or none was.
        let is_newest = self
            .declared
            .last()
            .is_none_or(|newest| newest.version < version);
        is_newest.then_some(VersionSpan {
            begin_ms: now_ms,
            copy_ms: self.copy_ms,
            behind_until_ms: None,
            is_awaited: false,
        })
    }
}

impl VersionSpan {
    /// Time of the first read of the piece that is `offset_ms` from the begin of the copy.
    ///
    /// A span that has passed begins anew `now_ms`, so that an entry which starts later
    /// does not read its whole share at once.
    pub fn first_read_ms(&self, offset_ms: i64, now_ms: i64) -> i64 {
        let has_passed = now_ms >= self.begin_ms.saturating_add(self.copy_ms);
        let begin_ms = if has_passed { now_ms } else { self.begin_ms };
        begin_ms + offset_ms
    }

    /// Time of the next read of that piece after `failures` reads of it have failed, the
    /// last one at `now_ms`; `first_missing_ms` is the offset of the first piece that the
    /// reader lacks.
    ///
    /// Further attempts come in turns of the time that the missing part needs, each piece at
    /// its own place: all at once would arrive at the same late moment when the origin is back.
    /// A version that a later one waits for has short pauses, as its rest is small.
    pub fn next_read_ms(
        &self,
        offset_ms: i64,
        first_missing_ms: i64,
        failures: u32,
        now_ms: i64,
    ) -> i64 {
        let is_behind = self
            .behind_until_ms
            .is_some_and(|until_ms| now_ms < until_ms);
        let turn_ms = if is_behind {
            self.copy_ms
        } else if self.is_awaited {
            RETRY_PAUSE_MS
        } else {
            self.copy_ms - first_missing_ms
        };
        let earliest_ms = now_ms + RETRY_PAUSE_MS;
        if failures <= QUICK_RETRIES || turn_ms <= RETRY_PAUSE_MS {
            return earliest_ms;
        }
        let first_ms = self.begin_ms + offset_ms;
        let late_ms = (earliest_ms - first_ms).max(0);
        let turns = late_ms.saturating_add(turn_ms - 1) / turn_ms;
        first_ms.saturating_add(turns.saturating_mul(turn_ms))
    }
}
