use std::fmt;

/// Outcomes of the calls of one kind.
#[derive(Debug, Default)]
pub struct KindResults {
    /// Number of calls with a complete and correct answer.
    pub correct: u64,
    /// Number of calls by error code, sorted by code.
    pub errors: Vec<(String, u64)>,
    /// Description of each wrong answer.
    pub wrong: Vec<String>,
}

/// Outcomes of all calls of the demonstration.
#[derive(Debug, Default)]
pub struct CallResults {
    /// Generate requests to the model.
    pub generate: KindResults,
    /// Idempotent calls to the service.
    pub lookups: KindResults,
    /// Calls to the service that are not idempotent.
    pub bookings: KindResults,
    /// Permit nonces of the bookings that were answered.
    pub booked: Vec<String>,
    /// Permit nonces of the bookings that were reported as not run.
    pub not_run: Vec<String>,
}

/// Verdict on the outcome of one call.
#[derive(Debug)]
pub enum CallVerdict {
    /// The answer is complete and correct.
    Correct,
    /// The call failed with this error code.
    Error(String),
    /// The answer violates the contract; the text says how.
    Wrong(String),
}

impl KindResults {
    /// Adds the verdict on one call.
    pub fn record(&mut self, verdict: CallVerdict) {
        match verdict {
            CallVerdict::Correct => self.correct += 1,
            CallVerdict::Error(code) => self.record_error(code),
            CallVerdict::Wrong(description) => self.wrong.push(description),
        }
    }

    fn record_error(&mut self, code: String) {
        match self.errors.binary_search_by(|(known, _)| known.cmp(&code)) {
            Ok(at) => self.errors[at].1 += 1,
            Err(at) => self.errors.insert(at, (code, 1)),
        }
    }
}

impl fmt::Display for KindResults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} answered", self.correct)?;
        for (code, count) in &self.errors {
            write!(f, ", {count} {code}")?;
        }
        if !self.wrong.is_empty() {
            write!(f, ", {} WRONG", self.wrong.len())?;
        }
        Ok(())
    }
}
