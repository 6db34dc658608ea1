use std::collections::VecDeque;

/// Runs of each key whose times are kept.
const MAX_RUNS: usize = 32;

/// Keys whose times are kept: more than a large configuration has routes.
const MAX_KEYS: usize = 4_096;

/// Times that the latest runs took, by the route or service of their requests.
#[derive(Debug, Default)]
pub struct RunTimes {
    // Ascending by key, each with its latest times, oldest first.
    recent: Vec<(String, VecDeque<u32>)>,
}

impl RunTimes {
    /// Records that a run for `key` took this time, in ms.
    pub fn record(&mut self, key: &str, took_ms: u64) {
        let at = match self.index_of(key) {
            Ok(at) => at,
            Err(at) => {
                // Names come and go with versions of the configuration.
                let at = if self.recent.len() < MAX_KEYS {
                    at
                } else {
                    self.recent.clear();
                    0
                };
                let times = VecDeque::with_capacity(MAX_RUNS);
                self.recent.insert(at, (key.to_owned(), times));
                at
            }
        };
        let times = &mut self.recent[at].1;
        if times.len() == MAX_RUNS {
            times.pop_front();
        }
        times.push_back(u32::try_from(took_ms).unwrap_or(u32::MAX));
    }

    /// Longest time that one of the latest runs for `key` took, in ms; None before the first.
    pub fn longest_ms(&self, key: &str) -> Option<u64> {
        let at = self.index_of(key).ok()?;
        self.recent[at].1.iter().max().copied().map(u64::from)
    }

    fn index_of(&self, key: &str) -> Result<usize, usize> {
        self.recent
            .binary_search_by(|known| known.0.as_str().cmp(key))
    }
}
