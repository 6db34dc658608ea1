use std::sync::Arc;

use actix::Addr;

use super::SwarmMember;
use super::VersionStageKind;
use super::WeightsTransfer;
use super::WeightsVersion;
use crate::document::ModelSection;
use crate::hosts::HostedVersion;
use crate::hosts::VersionProgress;
use crate::weights::Digest;
use crate::weights::HoldReason;

/// Backoff after the first failure, in milliseconds; it doubles with each further one.
const INITIAL_BACKOFF_MS: u64 = 250;

/// Longest backoff after repeated failures, in milliseconds.
const MAX_BACKOFF_MS: u64 = 10_000;

/// Number of steps in which progress is reported; each step causes a report to the entries.
const PROGRESS_STEPS: u64 = 10;

/// One version that this host serves or should serve.
pub(super) struct TrackedVersion {
    /// Section of the model in the configuration that wanted the version.
    pub(super) model: ModelSection,
    pub(super) version: Arc<WeightsVersion>,
    /// The transfer, once it has been started.
    pub(super) transfer: Option<Addr<WeightsTransfer>>,
    /// Hosts that the transfer was last given.
    pub(super) members: Vec<SwarmMember>,
    /// Manifest of the base model; adapters only, once the adapter's manifest is known.
    pub(super) base: Option<Digest>,
    /// Cause of the last failure, for which the version is reported as held until a step
    /// succeeds.
    pub(super) temporary_hold: Option<HoldReason>,
    /// Time from which the version is left out of the reports, in milliseconds; the engine
    /// unloads it some time later.
    pub(super) retired_ms: Option<u64>,
    /// Whether the engine was ordered to unload the version, with or without an answer.
    pub(super) unload_ordered: bool,
    /// Number of consecutive failures.
    failures: u32,
    /// Earliest time of the next attempt, in milliseconds.
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
            unload_ordered: false,
            failures: 0,
            next_attempt_ms: 0,
        }
    }

    /// Digest of the manifest.
    pub(super) fn digest(&self) -> Digest {
        self.version.digest()
    }

    /// Whether the engine serves the version.
    pub(super) fn is_serving(&self) -> bool {
        self.version.stage_kind() == VersionStageKind::Serving
    }

    /// Ends the retirement of a version that is wanted again; it is loaded again if the
    /// engine may have unloaded it.
    pub(super) fn want_again(&mut self) {
        self.retired_ms = None;
        if std::mem::take(&mut self.unload_ordered) {
            self.version.require_reload();
        }
    }

    /// Whether the backoff after the last failure is over.
    pub(super) fn is_retry_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_attempt_ms
    }

    /// Records a failure; the next attempt waits for the backoff and at least `min_wait_ms`.
    pub(super) fn record_failure(
        &mut self,
        cause: Option<HoldReason>,
        min_wait_ms: u64,
        now_ms: u64,
    ) {
        self.failures += 1;
        let backoff_ms = INITIAL_BACKOFF_MS << (self.failures - 1).min(8);
        self.next_attempt_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS).max(min_wait_ms);
        self.temporary_hold = cause;
    }

    /// Records that the last step succeeded, which ends the backoff.
    pub(super) fn record_success(&mut self) {
        self.failures = 0;
        self.next_attempt_ms = 0;
        self.temporary_hold = None;
    }

    /// Status of the version in this host's reports; `None` once it is retired.
    pub(super) fn report(&self) -> Option<HostedVersion> {
        if self.retired_ms.is_some() {
            return None;
        }
        let held = self
            .version
            .hold_reason()
            .or_else(|| self.temporary_hold.clone());
        let progress = match (self.version.stage_kind(), &held) {
            (VersionStageKind::Serving, _) => VersionProgress::Serving,
            (_, Some(_)) => VersionProgress::Held,
            (VersionStageKind::Verified | VersionStageKind::Loaded, None) => {
                VersionProgress::Verified
            }
            (_, None) => VersionProgress::Fetching,
        };
        Some(HostedVersion {
            model: self.model.name.clone(),
            version: self.model.version.clone(),
            manifest: self.digest(),
            progress,
            present_percent: self.present_percent(),
            held: held.map(|held| held.to_string()),
        })
    }

    /// Percentage of the chunks held, rounded down to a step.
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
