use crate::document::BranchSection;

/// Queue weight of one percent of guaranteed share, large enough that a guaranteed share
/// normally outweighs the configured weight.
const WEIGHT_PER_PERCENT: u32 = 10_000;

/// Share that a branch has of the slots of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BranchShare {
    /// Name of the branch.
    pub branch: String,
    /// Weight of the branch among those with waiting requests.
    pub weight: u32,
    /// Largest part of the slots that it may hold while another branch waits, in percent.
    pub burst_percent: u32,
}

impl BranchShare {
    /// Share of a branch that has no section in the configuration: the smallest weight
    /// and no burst limit.
    pub fn unconfigured(branch: impl Into<String>) -> Self {
        Self {
            branch: branch.into(),
            weight: 1,
            burst_percent: 100,
        }
    }
}

impl From<&BranchSection> for BranchShare {
    /// The guaranteed share mostly determines the weight; the configured weight decides
    /// among branches without one.
    fn from(section: &BranchSection) -> Self {
        Self {
            branch: section.name.clone(),
            weight: section.share_percent * WEIGHT_PER_PERCENT + section.weight,
            burst_percent: section.burst_percent,
        }
    }
}
