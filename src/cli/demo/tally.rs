use std::fmt;

/// How the calls of one kind ended.
#[derive(Debug, Default)]
pub struct KindTally {
    /// Calls answered whole and right.
    pub done: u64,
    /// Calls that ended in a typed error, by code.
    pub errors: Vec<(String, u64)>,
    /// Calls answered wrongly, with what was wrong.
    pub wrong: Vec<String>,
}

/// How the calls of every kind ended.
#[derive(Debug, Default)]
pub struct Tally {
    /// Requests for tokens.
    pub generate: KindTally,
    /// Calls that may be repeated.
    pub lookups: KindTally,
    /// Calls that may not be repeated.
    pub bookings: KindTally,
    /// Nonces of the bookings that were answered.
    pub booked: Vec<String>,
    /// Nonces of the bookings that were said not to have run.
    pub not_run: Vec<String>,
}

/// How one call ended.
#[derive(Debug)]
pub enum Ending {
    /// A whole and right answer.
    Done,
    /// A typed error.
    Error(String),
    /// An answer that no correct system gives.
    Wrong(String),
}

impl KindTally {
    /// Counts one call.
    pub fn count(&mut self, ending: Ending) {
        match ending {
            Ending::Done => self.done += 1,
            Ending::Error(code) => self.count_error(code),
            Ending::Wrong(what) => self.wrong.push(what),
        }
    }

    fn count_error(&mut self, code: String) {
        match self.errors.binary_search_by(|(known, _)| known.cmp(&code)) {
            Ok(at) => self.errors[at].1 += 1,
            Err(at) => self.errors.insert(at, (code, 1)),
        }
    }
}

impl fmt::Display for KindTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} answered", self.done)?;
        for (code, count) in &self.errors {
            write!(f, ", {count} {code}")?;
        }
        if !self.wrong.is_empty() {
            write!(f, ", {} WRONG", self.wrong.len())?;
        }
        Ok(())
    }
}
