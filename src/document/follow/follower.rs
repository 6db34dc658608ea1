use crate::document::Checkpoint;
use crate::document::CheckpointOutcome;
use crate::document::DocumentError;
use crate::document::Fold;
use crate::document::RecordOutcome;
use crate::document::follow::ConfigAnswer;
use crate::document::follow::ConfigStatus;
use crate::document::follow::ConfigUpdate;
use crate::document::follow::EncodedRecord;
use crate::document::follow::LogPage;
use crate::document::follow::Notice;
use crate::document::follow::Readiness;
use crate::document::follow::checkpoint_search::CheckpointSearch;
use crate::document::follow::recent_records::RecentRecords;

/// Smallest time between two ticks that counts as a pause of the process, in ms.
const PAUSE_MS: u64 = 5_000;

/// Largest time or age of another process that counts, in ms: sums of such times are in range.
const MAX_TIME_MS: u64 = i64::MAX as u64 / 4;

/// Keeps the configuration of one process up to date from log pages and answers of peers.
#[derive(Debug, Clone)]
pub struct Follower {
    fold: Fold,
    recent: RecentRecords,
    readiness: Readiness,
    search: Option<CheckpointSearch>,
    last_tick_ms: u64,
    // Time of the start, or of the end of the last pause if there was one; answers to earlier
    // requests may be out of date.
    resumed_ms: u64,
    // Negative if that was before this process started.
    last_confirmed_ms: Option<i64>,
    checkpoint_observed_ms: u64,
}

impl Follower {
    /// Creates the follower of a process that just started.
    pub fn new(now_ms: u64) -> Self {
        Self {
            fold: Fold::new(),
            recent: RecentRecords::default(),
            readiness: Readiness::started(),
            search: None,
            last_tick_ms: now_ms,
            resumed_ms: now_ms,
            last_confirmed_ms: None,
            checkpoint_observed_ms: now_ms,
        }
    }

    /// Returns the configuration computed from the log.
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Whether the process may rely on its configuration to admit new work.
    pub fn admits(&self, now_ms: u64) -> bool {
        self.readiness.admits() && !self.was_paused(now_ms)
    }

    /// Whether an answer of this process counts towards a majority.
    pub fn is_voter(&self) -> bool {
        self.readiness.is_voter()
    }

    /// Returns the offset to read the log from.
    pub fn next_read_offset(&self) -> u64 {
        self.search
            .as_ref()
            .map_or(self.fold.head(), CheckpointSearch::position)
    }

    /// Time since the head was known to be the end of the log, in ms.
    pub fn confirmed_age_ms(&self, now_ms: u64) -> Option<u64> {
        let age_ms = signed_ms(now_ms) - self.last_confirmed_ms?;
        Some(u64::try_from(age_ms).unwrap_or(0))
    }

    /// Time since a matching checkpoint was observed in the log, or since the start, in ms.
    pub fn checkpoint_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.checkpoint_observed_ms)
    }

    /// Records that the process runs at `now_ms`; returns true if it was paused before.
    pub fn tick(&mut self, now_ms: u64) -> bool {
        let paused = self.was_paused(now_ms);
        self.last_tick_ms = now_ms;
        if paused {
            self.resumed_ms = now_ms;
            self.readiness.reset_after_pause();
        }
        paused
    }

    /// Applies a page of the log that was requested at `requested_ms`.
    pub fn apply_log_page(
        &mut self,
        now_ms: u64,
        requested_ms: u64,
        page: &LogPage,
    ) -> Vec<Notice> {
        self.tick(now_ms);
        if page.next < self.fold.head() {
            return vec![Notice::LogWentBack {
                next: page.next,
                head: self.fold.head(),
            }];
        }
        if page.earliest > self.fold.head() {
            return self.search_page(page);
        }
        self.search = None;
        let notices = self.apply_records(requested_ms, &page.records);
        if self.fold.head() == page.next {
            self.record_confirmation(signed_ms(requested_ms));
            if requested_ms >= self.resumed_ms {
                self.readiness.confirm();
            }
        }
        notices
    }

    /// Returns the status to send to peers.
    pub fn status(&self, now_ms: u64) -> ConfigStatus {
        ConfigStatus {
            head: self.fold.head(),
            digest: self.fold.digest(),
            is_voter: self.readiness.is_voter(),
            confirmed_age_ms: self.confirmed_age_ms(now_ms),
        }
    }

    /// Returns the answer for a process whose head is `from`.
    pub fn answer_peer(&self, now_ms: u64, from: u64) -> ConfigAnswer {
        let update = if from >= self.fold.head() {
            ConfigUpdate::None
        } else if let Some(records) = self.recent.since(from) {
            ConfigUpdate::Records(records)
        } else {
            ConfigUpdate::Checkpoint(Box::new(self.fold.checkpoint()))
        };
        ConfigAnswer {
            mark: self.status(now_ms),
            update,
        }
    }

    /// Applies the answer of `peer` to a request sent at `requested_ms`, where the platform
    /// lists `listed_entries` entries.
    pub fn apply_peer_answer(
        &mut self,
        now_ms: u64,
        requested_ms: u64,
        peer: &str,
        listed_entries: usize,
        answer: &ConfigAnswer,
    ) -> Vec<Notice> {
        self.tick(now_ms);
        let mut notices = match &answer.update {
            ConfigUpdate::None => Vec::new(),
            ConfigUpdate::Records(records) => self.apply_records(requested_ms, records),
            ConfigUpdate::Checkpoint(checkpoint) => self.apply_checkpoint(checkpoint),
        };
        if self.diverges_from(&answer.mark) {
            notices.push(Notice::Diverged {
                head: answer.mark.head,
            });
            return notices;
        }
        // A request time in the future is from the clock of another process, so that the
        // answer is not for this one.
        if self.fold.head() >= answer.mark.head && requested_ms <= now_ms {
            self.apply_peer_status(requested_ms, peer, listed_entries, &answer.mark);
        }
        notices
    }

    /// Whether the peer's digest differs from the one of this process at the same head.
    fn diverges_from(&self, status: &ConfigStatus) -> bool {
        let own = self.fold.digest_at(status.head);
        own.is_some_and(|digest| digest != status.digest)
    }

    /// Takes over the confirmation of a peer, and counts the answer of a voter towards the
    /// majority; the head of this process must be at least that of the peer.
    fn apply_peer_status(
        &mut self,
        requested_ms: u64,
        peer: &str,
        listed_entries: usize,
        status: &ConfigStatus,
    ) {
        if let Some(age_ms) = status.confirmed_age_ms {
            let at_ms = signed_ms(requested_ms) - signed_ms(age_ms);
            self.record_confirmation(at_ms);
            // The peer's head was the end of the log after the start or the last pause.
            if at_ms > signed_ms(self.resumed_ms) {
                self.readiness.confirm();
            }
        }
        if status.is_voter && requested_ms >= self.resumed_ms {
            self.readiness.record_voter(peer, listed_entries);
        }
    }

    /// Whether the process was paused since the last tick.
    fn was_paused(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_tick_ms) >= PAUSE_MS
    }

    /// Applies records of the log; those that do not continue at the head change nothing.
    fn apply_records(&mut self, now_ms: u64, records: &[EncodedRecord]) -> Vec<Notice> {
        let before = self.fold.head();
        let mut notices = Vec::new();
        for record in records {
            let outcome = self.fold.apply_record(record.offset, &record.bytes);
            if matches!(
                outcome,
                RecordOutcome::AlreadyApplied | RecordOutcome::Gap { .. }
            ) {
                continue;
            }
            self.recent.push(record.offset, &record.bytes);
            if matches!(outcome, RecordOutcome::CheckpointMatches { .. }) {
                self.checkpoint_observed_ms = now_ms;
            }
            notices.extend(notice_for(record.offset, outcome));
        }
        self.push_advanced(before, &mut notices);
        notices
    }

    /// Applies a checkpoint if it is ahead of the head.
    fn apply_checkpoint(&mut self, checkpoint: &Checkpoint) -> Vec<Notice> {
        let before = self.fold.head();
        let mut notices = Vec::new();
        match self.fold.apply_checkpoint(checkpoint) {
            CheckpointOutcome::Advanced => self.recent.clear(),
            CheckpointOutcome::NotNewer => {}
            CheckpointOutcome::Differs | CheckpointOutcome::Corrupt => {
                notices.push(Notice::CheckpointDiffers {
                    as_of: checkpoint.as_of,
                })
            }
        }
        self.push_advanced(before, &mut notices);
        notices
    }

    /// Searches a page of a trimmed log for checkpoints; at the end of the log, applies
    /// the latest usable one.
    fn search_page(&mut self, page: &LogPage) -> Vec<Notice> {
        let mut search = self
            .search
            .take()
            .unwrap_or_else(|| CheckpointSearch::new(page.earliest));
        search.add_records(&page.records);
        if search.position() < page.next && !page.records.is_empty() {
            self.search = Some(search);
            return Vec::new();
        }
        let mut notices: Vec<Notice> = search
            .conflicting()
            .iter()
            .map(|as_of| Notice::ConflictingCheckpoints { as_of: *as_of })
            .collect();
        match search.latest_usable(page.earliest) {
            Some(checkpoint) => notices.extend(self.apply_checkpoint(checkpoint)),
            None => notices.push(Notice::Trimmed {
                wanted: self.fold.head(),
                earliest: page.earliest,
            }),
        }
        notices
    }

    /// Records that the head was the end of the log at `at_ms`.
    fn record_confirmation(&mut self, at_ms: i64) {
        self.last_confirmed_ms = self.last_confirmed_ms.max(Some(at_ms));
    }

    /// Adds a notice if the head is greater than `before`.
    fn push_advanced(&self, before: u64, notices: &mut Vec<Notice>) {
        let head = self.fold.head();
        if head > before {
            notices.push(Notice::Advanced { head });
        }
    }
}

/// Returns the notice for the outcome of the record at `offset`, if one is needed.
fn notice_for(offset: u64, outcome: RecordOutcome) -> Option<Notice> {
    match outcome {
        // A peer sends an empty record in place of a checkpoint.
        RecordOutcome::Skipped(DocumentError::Empty) => None,
        RecordOutcome::Skipped(error) => Some(Notice::Skipped { offset, error }),
        RecordOutcome::CheckpointDiffers { as_of } => Some(Notice::CheckpointDiffers { as_of }),
        _ => None,
    }
}

/// A time or an age as a signed number: a time of another process may lie before the start
/// of this one.
fn signed_ms(ms: u64) -> i64 {
    ms.min(MAX_TIME_MS) as i64
}
