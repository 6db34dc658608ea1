use crate::observe::Event;
use crate::observe::LogLine;
use crate::staging::EnginePort;
use crate::staging::StagedContent;
use crate::staging::StagedPieces;
use crate::staging::StagingState;
use crate::staging::weights_download::WeightsDownload;
use crate::weights::OriginPort;
use crate::weights::PieceManifest;

/// Interval at which the staging area is examined while it is not known whether an earlier
/// process has given an order that may still take effect, in ms.
const EXAMINE_INTERVAL_MS: i64 = 1_000;

/// Versions before the wanted one that may be staged: the store keeps only the declaration
/// of the newest, and the origin the newest two.
const EARLIER_VERSIONS: u64 = 2;

impl<E: EnginePort, O: OriginPort> WeightsDownload<'_, E, O> {
    /// Finds out which version an earlier process on this host has left in the staging area,
    /// and so which order of it may still take effect.
    pub(super) async fn examine_staging_area(&self) {
        let candidates = self.state.borrow().known_versions(self.model, self.version);
        let mut manifests = Vec::new();
        for version in candidates {
            let download = WeightsDownload { version, ..*self };
            manifests.extend(download.find_manifest().await);
        }
        let Some(pieces) = self.read_staged_pieces(&manifests).await else {
            return;
        };
        let mut state = self.state.borrow_mut();
        let loaded_version = state
            .engine_report
            .as_ref()
            .map_or(0, |report| report.version(self.model));
        let mut later = loaded_version + 1..=self.version;
        let knows_all_later = later.all(|version| manifests.iter().any(|m| m.version == version));
        let content = pieces.content(loaded_version, knows_all_later);
        let now_ms = state.now_ms() as i64;
        let staged_model = state.staged_model(self.model);
        // Nothing is written while the content is unknown, which has a time limit of its own.
        if content != StagedContent::Unknown {
            for version in pieces.partly_written(loaded_version, knows_all_later) {
                staged_model.record_open_write(version, now_ms);
            }
        }
        let line = LogLine::new(Event::StagingAreaExamined).text("model", self.model);
        let line = match content {
            StagedContent::Incomplete => line.text("content", "incomplete"),
            StagedContent::Earlier => line.text("content", "earlier"),
            StagedContent::Unknown => line.text("content", "unknown"),
            StagedContent::Version(version) => line.number("version", version),
        };
        line.number("loaded", loaded_version).enqueue();
        state
            .orders
            .record_staged_content(self.model, content, loaded_version);
    }

    /// Compares every staged piece with the known manifests; `None` when that is not possible
    /// now.
    async fn read_staged_pieces(&self, manifests: &[PieceManifest]) -> Option<StagedPieces> {
        let mut staged = StagedPieces {
            pieces: manifests.iter().map(PieceManifest::piece_count).max()?,
            held: manifests.iter().map(|m| (m.version, 0)).collect(),
            ..StagedPieces::default()
        };
        let mut engine = self.engine.clone();
        for index in 0..staged.pieces {
            let Some(bytes) = engine.read_piece(self.model, index).await.ok()? else {
                staged.missing += 1;
                continue;
            };
            let mut is_recognised = false;
            for (manifest, held) in manifests.iter().zip(&mut staged.held) {
                if manifest.matches(index, &bytes) {
                    held.1 += 1;
                    is_recognised = true;
                }
            }
            staged.unrecognised += u32::from(!is_recognised);
        }
        Some(staged)
    }
}

impl StagingState {
    /// Returns whether the staging area of `model` is to be examined now.
    pub(super) fn start_examination(&mut self, model: &str) -> bool {
        let now_ms = self.now_ms() as i64;
        let staged_model = self.staged_model(model);
        let is_due = staged_model
            .examined_ms
            .is_none_or(|examined_ms| now_ms - examined_ms >= EXAMINE_INTERVAL_MS);
        if is_due {
            staged_model.examined_ms = Some(now_ms);
        }
        is_due
    }

    /// Returns the versions of `model` that may be staged: the loaded one, the declared ones,
    /// `wanted` and those just before it, in ascending order.
    fn known_versions(&self, model: &str, wanted: u64) -> Vec<u64> {
        let loaded = self.engine_version(model);
        let declared = self.declared.for_model(model).map(|d| d.version);
        let earlier = wanted.saturating_sub(EARLIER_VERSIONS)..=wanted;
        let mut versions: Vec<u64> = declared.chain(earlier).chain([loaded]).collect();
        versions.retain(|version| *version != 0);
        versions.sort_unstable();
        versions.dedup();
        versions
    }
}
