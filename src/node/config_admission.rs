use crate::conf::PartitionPolicy;

/// Time without confirmation after which a process counts as cut off from the log, in ms.
pub const CUT_OFF_MS: u64 = 30_000;

/// Whether a process admits new work, as decided by the state of its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigAdmission {
    /// The configuration was confirmed less than [`CUT_OFF_MS`] ago.
    Confirmed,
    /// The process is cut off from the log, and the policy is to go on serving.
    CutOffServing,
    /// The process is cut off from the log, and the policy is to refuse new work.
    CutOffRefusing,
    /// The configuration was not confirmed since the start or the last pause.
    Unconfirmed,
}

impl ConfigAdmission {
    /// Decides for a process whose configuration was last confirmed `age_ms` ago.
    ///
    /// `is_confirmed` states whether that was after its start and its last pause.
    pub fn decide(is_confirmed: bool, age_ms: u64, policy: PartitionPolicy) -> Self {
        if !is_confirmed {
            return Self::Unconfirmed;
        }
        match (age_ms >= CUT_OFF_MS, policy) {
            (false, _) => Self::Confirmed,
            (true, PartitionPolicy::Serve) => Self::CutOffServing,
            (true, PartitionPolicy::Refuse) => Self::CutOffRefusing,
        }
    }

    /// Whether new work is admitted.
    pub fn admits(self) -> bool {
        matches!(self, Self::Confirmed | Self::CutOffServing)
    }

    /// Returns the name in metrics and answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::CutOffServing => "cut_off_serving",
            Self::CutOffRefusing => "cut_off_refusing",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}
