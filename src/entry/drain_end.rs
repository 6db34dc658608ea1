use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use tokio::sync::watch;

/// Time of a stopping entry at which answers under way end with a refusal, before their
/// connections are cut.
#[derive(Debug)]
pub struct DrainEnd {
    end: watch::Sender<Option<Instant>>,
}

impl DrainEnd {
    /// An entry that is not stopping.
    pub fn new() -> Self {
        Self {
            end: watch::Sender::new(None),
        }
    }

    /// Sets the end when the entry starts to stop.
    pub(super) fn set(&self, end: Instant) {
        self.end.send_replace(Some(end));
    }

    /// Waits until the drain ends.
    pub(super) async fn reached(&self) {
        let mut changes = self.end.subscribe();
        let end = match changes.wait_for(Option::is_some).await {
            Ok(end) => *end,
            Err(_) => None,
        };
        let left = end.map_or(Duration::MAX, |end| {
            end.saturating_duration_since(Instant::now())
        });
        sleep(left).await;
    }
}

impl Default for DrainEnd {
    fn default() -> Self {
        Self::new()
    }
}
