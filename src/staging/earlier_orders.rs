use crate::observe::Event;
use crate::observe::LogLine;
use crate::staging::EnginePort;
use crate::staging::StagedContent;
use crate::staging::StagingState;
use crate::staging::weights_download::WeightsDownload;
use crate::weights::OriginPort;
use crate::weights::PieceManifest;

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
        let Some(content) = self.read_staged_content(&manifests).await else {
            return;
        };
        let mut state = self.state.borrow_mut();
        let loaded_version = state
            .engine_report
            .as_ref()
            .map_or(0, |report| report.version(self.model));
        let line = LogLine::new(Event::StagingAreaExamined).text("model", self.model);
        let line = match content {
            StagedContent::Incomplete => line.text("content", "incomplete"),
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
    async fn read_staged_content(&self, manifests: &[PieceManifest]) -> Option<StagedContent> {
        let pieces = manifests.iter().map(PieceManifest::piece_count).max()?;
        let mut held: Vec<(u64, u32)> = manifests.iter().map(|m| (m.version, 0)).collect();
        let mut missing = 0;
        let mut engine = self.engine.clone();
        for index in 0..pieces {
            let Some(bytes) = engine.read_piece(self.model, index).await.ok()? else {
                missing += 1;
                continue;
            };
            for (manifest, held) in manifests.iter().zip(&mut held) {
                held.1 += u32::from(manifest.matches(index, &bytes));
            }
        }
        Some(StagedContent::judge(pieces, missing, &held))
    }
}

impl StagingState {
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
