/// What a process finds in a staging area that an earlier process has filled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StagedContent {
    /// Pieces are missing, or of several versions.
    Incomplete,
    /// No piece is of a version later than the loaded one.
    Earlier,
    /// All recognised pieces are of this version.
    Version(u64),
    /// No piece is of a known version.
    Unknown,
}
