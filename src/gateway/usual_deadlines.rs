use crate::fleet::RecentDeadlines;

/// Share by which the deadlines of first requests may differ; a request with less
/// time left counts as a retry.
const DEADLINE_SPREAD: f64 = 0.17;

/// Usual deadlines that clients state on each route.
#[derive(Debug, Default)]
pub struct UsualDeadlines {
    // Ascending by name of the route.
    recent: Vec<(String, RecentDeadlines)>,
}

impl UsualDeadlines {
    /// Least time that a client with `deadline_ms` left has already waited, in ms.
    ///
    /// A client that retries after a refusal has less time left than the clients of the
    /// route that send their first request.
    pub fn waited_before_ms(&mut self, route: &str, deadline_ms: u64) -> u64 {
        let recent = &mut self.recent;
        let at = match recent.binary_search_by(|known| known.0.as_str().cmp(route)) {
            Ok(at) => at,
            Err(at) => {
                recent.insert(at, (route.to_owned(), RecentDeadlines::default()));
                at
            }
        };
        recent[at].1.record(deadline_ms);
        let longest_ms = recent[at].1.longest_usual_ms();
        let first_request_ms = longest_ms - (longest_ms as f64 * DEADLINE_SPREAD) as u64;
        first_request_ms.saturating_sub(deadline_ms)
    }
}
