use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use actix_rt::time::timeout;

/// Time in which data that has arrived is received, once a timer has fired.
pub(super) const ARRIVED_DATA_WAIT: Duration = Duration::from_millis(10);

/// Waits for data for at most `wait`; `None` if none has arrived by then.
///
/// After a pause of the process its timers may fire before it has looked for data, so it looks
/// once more.
pub async fn wait_for_data<T>(wait: Duration, data: impl Future<Output = T>) -> Option<T> {
    let mut data = pin!(data);
    if let Ok(received) = timeout(wait, data.as_mut()).await {
        return Some(received);
    }
    timeout(ARRIVED_DATA_WAIT, data).await.ok()
}
