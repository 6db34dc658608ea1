use crate::gateway::LeavingReplica;

/// Number of times that the other processes are told that a replica is leaving.
const LEAVING_NOTICES: u32 = 3;

/// Replicas of whose leaving the other processes are still told.
#[derive(Debug, Default)]
pub struct LeavingNotices {
    // Each with the number of times that it is still told.
    notices: Vec<(LeavingReplica, u32)>,
}

impl LeavingNotices {
    /// Adds a replica that is leaving.
    pub fn add(&mut self, leaving: LeavingReplica) {
        self.notices.push((leaving, LEAVING_NOTICES));
    }

    /// Returns the replicas of which is told now, each as often as it is told.
    pub fn take_due(&mut self) -> Vec<LeavingReplica> {
        let notices = self.notices.iter().map(|(leaving, _)| leaving.clone());
        let notices: Vec<_> = notices.collect();
        self.notices.retain_mut(|notice| {
            notice.1 -= 1;
            notice.1 > 0
        });
        notices
    }
}
