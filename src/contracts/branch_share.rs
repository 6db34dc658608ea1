use crate::document::BranchSection;

/// Queue weight of one percent of guaranteed share.
const WEIGHT_PER_PERCENT: u32 = 10_000;

/// What a branch may use of the slots of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BranchShare {
    /// Name of the branch.
    pub branch: String,
    /// Weight of the branch among those that want a slot.
    pub weight: u32,
    /// Most of the slots it may hold while another branch waits.
    pub burst_percent: u32,
}

impl BranchShare {
    /// Share of a branch that no contract names.
    pub fn without_contract(branch: impl Into<String>) -> Self {
        Self {
            branch: branch.into(),
            weight: 1,
            burst_percent: 100,
        }
    }
}

impl From<&BranchSection> for BranchShare {
    /// Guaranteed shares go first; the weight decides among branches without one.
    fn from(section: &BranchSection) -> Self {
        Self {
            branch: section.name.clone(),
            weight: section.share_percent * WEIGHT_PER_PERCENT + section.weight,
            burst_percent: section.burst_percent,
        }
    }
}
