/// Counts the epochs of a permit table by the endpoint's own clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EpochCounter {
    current: u64,
    started_ms: u64,
    epoch_ms: u64,
    retained_epochs: u64,
}

impl EpochCounter {
    /// Starts epoch 1 at `now_ms`; each lasts `epoch_ms` and the last `kept` are remembered.
    pub fn new(epoch_ms: u64, retained_epochs: u64, now_ms: u64) -> Self {
        Self {
            current: 1,
            started_ms: now_ms,
            epoch_ms: epoch_ms.max(1),
            retained_epochs: retained_epochs.max(1),
        }
    }

    /// Moves on to the epoch of `now_ms`; true if it changed.
    pub fn advance(&mut self, now_ms: u64) -> bool {
        let elapsed = now_ms.saturating_sub(self.started_ms) / self.epoch_ms;
        self.current += elapsed;
        self.started_ms += elapsed * self.epoch_ms;
        elapsed > 0
    }

    /// Epoch that new permits name.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Oldest epoch that is still remembered.
    pub fn oldest(&self) -> u64 {
        (self.current + 1).saturating_sub(self.retained_epochs)
    }

    /// Whether permits of `epoch` are still remembered.
    pub fn is_retained(&self, epoch: u64) -> bool {
        epoch >= self.oldest() && epoch <= self.current
    }

    /// Time until the next epoch starts.
    pub fn next_epoch_in_ms(&self, now_ms: u64) -> u64 {
        (self.started_ms + self.epoch_ms).saturating_sub(now_ms)
    }
}
