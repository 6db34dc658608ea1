/// Steps that a window is divided into.
const STEPS: usize = 10;

/// Budget for sending requests once more, shared by all entries.
///
/// Within any window, all entries together may send `ratio` of the requests and
/// `extra` more. Each entry spends the ratio of its own requests and an equal
/// share of the extra.
#[derive(Debug)]
pub struct RetryWindow {
    ratio: f64,
    extra: f64,
    step_ms: u64,
    steps: [(u64, u32, u32); STEPS],
    most_entries: u32,
    entries_seen_ms: u64,
}

impl RetryWindow {
    /// Budget of `ratio` and `extra` for a window of `window_ms`.
    pub fn new(ratio: f64, extra: f64, window_ms: u64) -> Self {
        Self {
            ratio,
            extra,
            step_ms: (window_ms / STEPS as u64).max(1),
            steps: [(0, 0, 0); STEPS],
            most_entries: 1,
            entries_seen_ms: 0,
        }
    }

    /// Changes the limits; what was counted stays.
    pub fn set_limits(&mut self, ratio: f64, extra: f64) {
        self.ratio = ratio;
        self.extra = extra;
    }

    /// Tells how many entries there are; the most within a window counts.
    pub fn set_entries(&mut self, entries: u32, now_ms: u64) {
        let window_ms = self.step_ms * STEPS as u64;
        if entries >= self.most_entries || now_ms >= self.entries_seen_ms + window_ms {
            self.most_entries = entries.max(1);
            self.entries_seen_ms = now_ms;
        }
    }

    /// Counts the first send of a request.
    pub fn request(&mut self, now_ms: u64) {
        self.step(now_ms).1 += 1;
    }

    /// Whether one further send is within the budget.
    pub fn has_room(&self, now_ms: u64) -> bool {
        let current = now_ms / self.step_ms + 1;
        let oldest = (current + 1).saturating_sub(STEPS as u64);
        let live = self.steps.iter().filter(|step| step.0 >= oldest);
        let (requests, resends) = live.fold((0, 0), |sum, step| (sum.0 + step.1, sum.1 + step.2));
        let allowed = self.ratio * f64::from(requests) + self.extra / f64::from(self.most_entries);
        f64::from(resends) + 1.0 <= allowed
    }

    /// Takes one further send out of the budget; false when it is spent.
    pub fn try_resend(&mut self, now_ms: u64) -> bool {
        if !self.has_room(now_ms) {
            return false;
        }
        self.step(now_ms).2 += 1;
        true
    }

    fn step(&mut self, now_ms: u64) -> &mut (u64, u32, u32) {
        let number = now_ms / self.step_ms + 1;
        let step = &mut self.steps[(number % STEPS as u64) as usize];
        if step.0 != number {
            *step = (number, 0, 0);
        }
        step
    }
}
