/// Share by which the deadlines of first requests may differ; a request with less
/// time left counts as a retry.
const DEADLINE_SPREAD: f64 = 0.17;

/// Longest deadline that a client stated on each route.
#[derive(Debug, Default)]
pub struct LongestDeadlines {
    // Ascending by name of the route.
    longest_ms: Vec<(String, u64)>,
}

impl LongestDeadlines {
    /// Least time that a client with `deadline_ms` left has already waited, in ms.
    ///
    /// A client that retries after a refusal has less time left than any client of the
    /// route that sends its first request.
    pub fn waited_before_ms(&mut self, route: &str, deadline_ms: u64) -> u64 {
        let longest = &mut self.longest_ms;
        let longest_ms = match longest.binary_search_by(|known| known.0.as_str().cmp(route)) {
            Ok(at) => {
                longest[at].1 = longest[at].1.max(deadline_ms);
                longest[at].1
            }
            Err(at) => {
                longest.insert(at, (route.to_owned(), deadline_ms));
                deadline_ms
            }
        };
        let first_request_ms = longest_ms - (longest_ms as f64 * DEADLINE_SPREAD) as u64;
        first_request_ms.saturating_sub(deadline_ms)
    }
}
