/// What a process finds in a staging area that an earlier process has filled.
///
/// An order of that process may still take effect only where every piece was of its version
/// when it was sent; pieces that were spoilt since do not change that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StagedContent {
    /// Pieces are missing, or of several versions: nothing was ordered.
    Incomplete,
    /// All recognised pieces are of this version.
    Version(u64),
    /// No piece is of a known version.
    Unknown,
}

impl StagedContent {
    /// Judges a staging area that lacks `missing` of `pieces` pieces, from the number of
    /// pieces that it holds of each known version.
    pub fn judge(pieces: u32, missing: u32, held: &[(u64, u32)]) -> Self {
        if missing > 0 {
            return Self::Incomplete;
        }
        // Versions may share pieces.
        if let Some(complete) = held.iter().find(|held| held.1 == pieces) {
            return Self::Version(complete.0);
        }
        let mut found = held.iter().filter(|held| held.1 > 0);
        match (found.next(), found.next()) {
            (None, _) => Self::Unknown,
            (Some(only), None) => Self::Version(only.0),
            (Some(_), Some(_)) => Self::Incomplete,
        }
    }
}
