/// Counts the epochs of a permit table on the monotonic clock of its endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EpochCounter {
    current: u64,
    // Start of the current epoch.
    started_ms: u64,
    epoch_ms: u64,
    retained_epochs: u64,
}

impl EpochCounter {
    /// Starts epoch 1 at `now_ms`.
    ///
    /// Each epoch lasts `epoch_ms`, and the latest `retained_epochs` are remembered,
    /// the current one included.
    pub fn new(epoch_ms: u64, retained_epochs: u64, now_ms: u64) -> Self {
        Self {
            current: 1,
            started_ms: now_ms,
            epoch_ms: epoch_ms.max(1),
            retained_epochs: retained_epochs.max(1),
        }
    }

    /// Advances to the epoch of `now_ms`; returns whether it changed.
    pub fn advance(&mut self, now_ms: u64) -> bool {
        let elapsed_epochs = now_ms.saturating_sub(self.started_ms) / self.epoch_ms;
        self.current += elapsed_epochs;
        self.started_ms += elapsed_epochs * self.epoch_ms;
        elapsed_epochs > 0
    }

    /// Current epoch, which new permits name.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Oldest epoch whose permits are remembered.
    pub fn oldest(&self) -> u64 {
        (self.current + 1).saturating_sub(self.retained_epochs)
    }

    /// Whether permits of `epoch` are remembered.
    pub fn is_retained(&self, epoch: u64) -> bool {
        epoch >= self.oldest() && epoch <= self.current
    }

    /// Time until the next epoch starts, in milliseconds.
    pub fn next_epoch_in_ms(&self, now_ms: u64) -> u64 {
        (self.started_ms + self.epoch_ms).saturating_sub(now_ms)
    }
}
