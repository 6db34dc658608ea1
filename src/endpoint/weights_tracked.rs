use std::sync::Arc;

use actix::Addr;

use super::SwarmMember;
use super::VersionStageKind;
use super::WeightsTransfer;
use super::WeightsVersion;
use crate::document::ModelSection;
use crate::hosts::Progress;
use crate::hosts::Served;
use crate::weights::Digest;
use crate::weights::HoldReason;

/// First pause after a failure; doubles with each further one.
const INITIAL_BACKOFF_MS: u64 = 250;

/// Longest pause after failures.
const MAX_BACKOFF_MS: u64 = 10_000;

/// Steps in which progress is reported, as each is a report of its own.
const PROGRESS_STEPS: u64 = 10;

/// One version that this host serves or should serve.
pub(super) struct TrackedVersion {
    pub(super) model: ModelSection,
    pub(super) version: Arc<WeightsVersion>,
    pub(super) transfer: Option<Addr<WeightsTransfer>>,
    pub(super) members: Vec<SwarmMember>,
    /// Manifest of the base; adapters only, once known.
    pub(super) base: Option<Digest>,
    /// Why it waits, though not for good.
    pub(super) temporary_hold: Option<HoldReason>,
    /// When it left the report; its engine drops it some time later.
    pub(super) retired_ms: Option<u64>,
    failures: u32,
    next_attempt_ms: u64,
}

impl TrackedVersion {
    pub(super) fn new(model: ModelSection, version: Arc<WeightsVersion>) -> Self {
        Self {
            model,
            version,
            transfer: None,
            members: Vec::new(),
            base: None,
            temporary_hold: None,
            retired_ms: None,
            failures: 0,
            next_attempt_ms: 0,
        }
    }

    pub(super) fn digest(&self) -> Digest {
        self.version.digest()
    }

    pub(super) fn is_serving(&self) -> bool {
        self.version.stage_kind() == VersionStageKind::Serving
    }

    /// Whether the pause after the last failure is over.
    pub(super) fn is_retry_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_attempt_ms
    }

    /// Notes a failure: the next try waits, and at least `wait_ms`.
    pub(super) fn record_failure(&mut self, cause: Option<HoldReason>, wait_ms: u64, now_ms: u64) {
        self.failures += 1;
        let backoff_ms = INITIAL_BACKOFF_MS << (self.failures - 1).min(8);
        self.next_attempt_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS).max(wait_ms);
        self.temporary_hold = cause;
    }

    /// Notes that the last step worked.
    pub(super) fn record_success(&mut self) {
        self.failures = 0;
        self.next_attempt_ms = 0;
        self.temporary_hold = None;
    }

    /// What the reports say of it; None once it is retired.
    pub(super) fn report(&self) -> Option<Served> {
        if self.retired_ms.is_some() {
            return None;
        }
        let held = self
            .version
            .hold_reason()
            .or_else(|| self.temporary_hold.clone());
        let progress = match (self.version.stage_kind(), &held) {
            (VersionStageKind::Serving, _) => Progress::Serving,
            (_, Some(_)) => Progress::Held,
            (VersionStageKind::Verified | VersionStageKind::Loaded, None) => Progress::Verified,
            (_, None) => Progress::Fetching,
        };
        Some(Served {
            model: self.model.name.clone(),
            version: self.model.version.clone(),
            manifest: self.digest(),
            progress,
            present_percent: self.present_percent(),
            held: held.map(|held| held.to_string()),
        })
    }

    fn present_percent(&self) -> u8 {
        if self.is_serving() {
            return 100;
        }
        let percent = self.version.held_chunks().map_or(0, |have| {
            let steps = u64::from(have.held_count()) * PROGRESS_STEPS
                / u64::from(have.chunk_count().max(1));
            steps * 100 / PROGRESS_STEPS
        });
        u8::try_from(percent).unwrap_or(100)
    }
}
