use crate::weights::Digest;

/// Time for which a cause has changed before that is kept, in ms: what merely ran beside the
/// cause of crashes is cleared by then.
const KEEP_AFTER_MS: u64 = 1_000;

/// Time for which each entry waits for the record of the one before it by rank, in ms: they
/// read the records of the entries every five seconds.
const RANK_PAUSE_MS: u64 = 6_000;

/// Time after which a record that does not appear is written again, in ms.
const REWRITE_PAUSE_MS: u64 = 15_000;

/// The same after a write that failed, in ms.
const RETRY_PAUSE_MS: u64 = 2_000;

/// Largest number of causes whose changes are followed at a time.
const MAX_CAUSES: usize = 16;

/// A cause that differs from its record.
#[derive(Debug)]
struct ChangedCause {
    cause: Digest,
    since_ms: u64,
    next_write_ms: u64,
}

/// Decides which changes of the refused causes an entry writes to where they outlast all
/// processes: one entry does, and the others only if its record does not appear.
#[derive(Debug, Default)]
pub struct KeptCauses {
    changed: Vec<ChangedCause>,
}

impl KeptCauses {
    /// Returns a cause whose record is to be written now. `differing` are all causes that
    /// differ from their records, each with the rank of this entry for it.
    pub fn next_due(&mut self, differing: &[(Digest, usize)], now_ms: u64) -> Option<Digest> {
        self.changed
            .retain(|known| differing.iter().any(|(cause, _)| *cause == known.cause));
        for (cause, _) in differing {
            let is_known = self.changed.iter().any(|known| known.cause == *cause);
            if !is_known && self.changed.len() < MAX_CAUSES {
                self.changed.push(ChangedCause {
                    cause: *cause,
                    since_ms: now_ms,
                    next_write_ms: 0,
                });
            }
        }
        let rank_of = |cause: Digest| {
            let found = differing.iter().find(|(differing, _)| *differing == cause);
            found.map_or(0, |(_, rank)| *rank as u64)
        };
        let is_due = |known: &&mut ChangedCause| {
            let wait_ms = KEEP_AFTER_MS + rank_of(known.cause) * RANK_PAUSE_MS;
            now_ms >= known.since_ms + wait_ms && now_ms >= known.next_write_ms
        };
        let due = self.changed.iter_mut().find(is_due)?;
        due.next_write_ms = now_ms + REWRITE_PAUSE_MS;
        Some(due.cause)
    }

    /// Records that the write of a cause failed, so that it is tried again soon.
    pub fn record_failure(&mut self, cause: Digest, now_ms: u64) {
        for known in &mut self.changed {
            if known.cause == cause {
                known.next_write_ms = now_ms + RETRY_PAUSE_MS;
            }
        }
    }
}
