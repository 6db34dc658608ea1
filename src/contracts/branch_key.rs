/// Index of a branch within one [`FairQueue`](super::FairQueue).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BranchKey(pub(super) u32);

impl BranchKey {
    pub(super) fn index(self) -> usize {
        self.0 as usize
    }
}
