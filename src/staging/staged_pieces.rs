use crate::staging::StagedContent;

/// Stands for the version of pieces that match no known manifest.
const UNKNOWN_VERSION: u64 = 0;

/// Number of staged pieces of each known version.
///
/// An order of an earlier process may still take effect only where every piece was of its
/// version when it was sent; pieces that were spoilt since do not change that.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StagedPieces {
    /// Number of pieces of a version.
    pub pieces: u32,
    /// Pieces that are not staged.
    pub missing: u32,
    /// Staged pieces that match no known manifest.
    pub unrecognised: u32,
    /// Known versions, each with the number of its pieces that are staged.
    pub held: Vec<(u64, u32)>,
}

impl StagedPieces {
    /// Judges what is staged beside an engine that has loaded `loaded_version`.
    /// `knows_all_later` tells whether `held` lists every later version.
    pub fn content(&self, loaded_version: u64, knows_all_later: bool) -> StagedContent {
        if self.missing > 0 {
            return StagedContent::Incomplete;
        }
        // Versions may share pieces.
        if let Some(complete) = self.held.iter().find(|held| held.1 == self.pieces) {
            return StagedContent::Version(complete.0);
        }
        let has_later = self
            .held
            .iter()
            .any(|held| held.0 > loaded_version && held.1 > 0);
        if knows_all_later && !has_later {
            return StagedContent::Earlier;
        }
        // The others may be of a version that shares those that were recognised.
        if self.unrecognised > 0 && !knows_all_later {
            return StagedContent::Unknown;
        }
        let mut found = self.held.iter().filter(|held| held.1 > 0);
        match (found.next(), found.next()) {
            (None, _) => StagedContent::Unknown,
            (Some(only), None) => StagedContent::Version(only.0),
            (Some(_), Some(_)) => StagedContent::Incomplete,
        }
    }

    /// Returns the versions that an earlier process was writing, of which a piece may still
    /// be written late.
    pub fn partly_written(&self, loaded_version: u64, knows_all_later: bool) -> Vec<u64> {
        let is_partial =
            |held: &&(u64, u32)| held.0 > loaded_version && held.1 > 0 && held.1 < self.pieces;
        let mut versions: Vec<u64> = self
            .held
            .iter()
            .filter(is_partial)
            .map(|held| held.0)
            .collect();
        if self.unrecognised > 0 && !knows_all_later {
            versions.push(UNKNOWN_VERSION);
        }
        versions
    }
}
