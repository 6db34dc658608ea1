/// How far a process may rely on the configuration it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Readiness {
    /// Just started; it may lack what was in force before.
    Fresh(Answers),
    /// Paused for a while; it may be out of date.
    Woken(Answers),
    /// Confirmed; it admits work.
    Confirmed,
}

/// Entries that answered since the process started or woke, ascending.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answers(Vec<String>);

impl Readiness {
    /// A process that just started.
    pub fn fresh() -> Self {
        Self::Fresh(Answers::default())
    }

    /// Whether the process admits new work.
    pub fn admits(&self) -> bool {
        matches!(self, Self::Confirmed)
    }

    /// Whether an answer of this process counts; a woken one still holds what it held.
    pub fn is_voter(&self) -> bool {
        !matches!(self, Self::Fresh(_))
    }

    /// The process was paused.
    pub fn wake(&mut self) {
        match self {
            Self::Confirmed | Self::Woken(_) => *self = Self::Woken(Answers::default()),
            Self::Fresh(answers) => *answers = Answers::default(),
        }
    }

    /// The log was read to its end.
    pub fn log_confirmed(&mut self) {
        *self = Self::Confirmed;
    }

    /// The entry `name`, one of `listed` entries, answered and counts.
    pub fn voter_answered(&mut self, name: &str, listed: usize) {
        let (Self::Fresh(answers) | Self::Woken(answers)) = self else {
            return;
        };
        if let Err(index) = answers.0.binary_search_by(|other| other.as_str().cmp(name)) {
            answers.0.insert(index, name.to_owned());
        }
        if listed > 0 && answers.0.len() > listed / 2 {
            *self = Self::Confirmed;
        }
    }
}
