use crate::conf::PartitionPolicy;

/// Time without confirmation after which a process counts as cut off.
pub const CUT_OFF_MS: u64 = 30_000;

/// Whether a process admits new work, going by its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigAdmission {
    /// The configuration is confirmed.
    Confirmed,
    /// Cut off from the log for long; the policy is to serve on.
    CutOffServing,
    /// Cut off from the log for long; the policy is to refuse.
    CutOffRefusing,
    /// Just started or woken, and not confirmed since.
    Unconfirmed,
}

impl ConfigAdmission {
    /// Decides for a process last confirmed `age_ms` ago.
    ///
    /// `is_confirmed` tells whether that was since it started or last woke.
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

    /// Name in metrics and answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::CutOffServing => "cut_off_serving",
            Self::CutOffRefusing => "cut_off_refusing",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}
