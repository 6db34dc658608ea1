/// How far a process may rely on the configuration it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Readiness {
    /// Just started; it may lack what was in force before.
    Started(VotersAnswered),
    /// Paused for a while; it may be out of date.
    Resumed(VotersAnswered),
    /// Confirmed; it admits work.
    Confirmed,
}

/// Entries that answered since the process started or woke, ascending.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VotersAnswered(Vec<String>);

impl Readiness {
    /// A process that just started.
    pub fn started() -> Self {
        Self::Started(VotersAnswered::default())
    }

    /// Whether the process admits new work.
    pub fn admits(&self) -> bool {
        matches!(self, Self::Confirmed)
    }

    /// Whether an answer of this process counts; a woken one still holds what it held.
    pub fn is_voter(&self) -> bool {
        !matches!(self, Self::Started(_))
    }

    /// The process was paused.
    pub fn reset_after_pause(&mut self) {
        match self {
            Self::Confirmed | Self::Resumed(_) => *self = Self::Resumed(VotersAnswered::default()),
            Self::Started(voters) => *voters = VotersAnswered::default(),
        }
    }

    /// The log was read to its end.
    pub fn confirm(&mut self) {
        *self = Self::Confirmed;
    }

    /// The entry `name`, one of `listed` entries, answered and counts.
    pub fn record_voter(&mut self, name: &str, listed: usize) {
        let (Self::Started(voters) | Self::Resumed(voters)) = self else {
            return;
        };
        if let Err(index) = voters.0.binary_search_by(|other| other.as_str().cmp(name)) {
            voters.0.insert(index, name.to_owned());
        }
        if listed > 0 && voters.0.len() > listed / 2 {
            *self = Self::Confirmed;
        }
    }
}
