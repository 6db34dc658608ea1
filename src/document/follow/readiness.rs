/// Whether a process may rely on its configuration to admit work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Readiness {
    /// The process just started and may lack records that others have applied.
    Started(AnsweredVoters),
    /// The process was paused, so its configuration may be out of date.
    Resumed(AnsweredVoters),
    /// The configuration is confirmed; the process admits work.
    Confirmed,
}

/// Names of the voting entries that answered since the start or the last pause, ascending.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnsweredVoters(Vec<String>);

impl Readiness {
    /// Creates the state of a process that just started.
    pub fn started() -> Self {
        Self::Started(AnsweredVoters::default())
    }

    /// Whether the process admits new work.
    pub fn admits(&self) -> bool {
        matches!(self, Self::Confirmed)
    }

    /// Whether an answer of this process counts towards a majority.
    ///
    /// It does after a pause too, because the process keeps its configuration.
    pub fn is_voter(&self) -> bool {
        !matches!(self, Self::Started(_))
    }

    /// Records that the process was paused, which requires a new confirmation.
    pub fn reset_after_pause(&mut self) {
        match self {
            Self::Confirmed | Self::Resumed(_) => *self = Self::Resumed(AnsweredVoters::default()),
            Self::Started(voters) => *voters = AnsweredVoters::default(),
        }
    }

    /// Records that the configuration was known to be at the end of the log.
    pub fn confirm(&mut self) {
        *self = Self::Confirmed;
    }

    /// Records an answer of the voting entry `name`, where the platform lists
    /// `listed_entries` entries; a majority of them confirms the configuration.
    pub fn record_voter(&mut self, name: &str, listed_entries: usize) {
        let (Self::Started(voters) | Self::Resumed(voters)) = self else {
            return;
        };
        if let Err(index) = voters.0.binary_search_by(|other| other.as_str().cmp(name)) {
            voters.0.insert(index, name.to_owned());
        }
        if listed_entries > 0 && voters.0.len() > listed_entries / 2 {
            *self = Self::Confirmed;
        }
    }
}
