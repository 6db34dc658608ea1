/// Whether a process admits new work, going by its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The configuration is confirmed.
    Confirmed,
    /// Cut off from the log for long; the policy is to serve on.
    CutOffServing,
    /// Cut off from the log for long; the policy is to refuse.
    CutOffRefusing,
    /// Just started or woken, and not confirmed since.
    Unconfirmed,
}

impl Admission {
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
