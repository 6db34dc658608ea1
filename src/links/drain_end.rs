use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use tokio::sync::watch;

use crate::links::arrived_data::ARRIVED_DATA_WAIT;

/// Part of a drain in which refusals are sent to callers whose requests are too long.
const REFUSAL_MARGIN: Duration = Duration::from_millis(500);

/// Time for the last answers of a process that stood still past the end of its drain.
pub const LAST_ANSWERS_TIME: Duration = Duration::from_millis(250);

/// Time of a stopping process at which answers under way end with a refusal, before their
/// connections are cut.
#[derive(Debug)]
pub struct DrainEnd {
    end: watch::Sender<Option<Instant>>,
}

impl DrainEnd {
    /// A process that is not stopping.
    pub fn new() -> Self {
        Self {
            end: watch::Sender::new(None),
        }
    }

    /// Starts a drain that lasts `drain` at the most.
    pub fn start(&self, drain: Duration) {
        let left = drain.saturating_sub(REFUSAL_MARGIN).max(drain / 2);
        self.end.send_replace(Some(Instant::now() + left));
    }

    /// Time until the drain ends, in milliseconds; `None` if the process is not stopping.
    pub fn left_ms(&self) -> Option<u64> {
        let end = (*self.end.borrow())?;
        let left = end.saturating_duration_since(Instant::now());
        Some(u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
    }

    /// Waits until the drain ends; whoever waited meanwhile then has time to look for data that
    /// arrived while the process stood still.
    pub async fn reached(&self) {
        let mut changes = self.end.subscribe();
        let end = match changes.wait_for(Option::is_some).await {
            Ok(end) => *end,
            Err(_) => None,
        };
        let left = end.map_or(Duration::MAX, |end| {
            end.saturating_duration_since(Instant::now())
        });
        if !left.is_zero() {
            sleep(left).await;
            sleep(ARRIVED_DATA_WAIT).await;
        }
    }
}

impl Default for DrainEnd {
    fn default() -> Self {
        Self::new()
    }
}
