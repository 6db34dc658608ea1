use std::mem;
use std::sync::Mutex;
use std::sync::MutexGuard;

use tokio::sync::watch;

/// Requests that a server has read and whose answers are not whole yet.
#[derive(Debug, Default)]
pub struct RequestsUnderWay {
    /// Closed once each request that holds a receiver has ended.
    ended: Mutex<watch::Sender<()>>,
}

/// Stands for a request under way until it is dropped.
#[derive(Debug)]
pub(super) struct RequestGuard {
    _ended: watch::Receiver<()>,
}

impl RequestsUnderWay {
    /// Adds a request, until the guard is dropped.
    pub(super) fn add(&self) -> RequestGuard {
        RequestGuard {
            _ended: self.lock().subscribe(),
        }
    }

    /// Waits until the requests that are under way now have ended; later ones don't count.
    pub async fn wait_for_earlier(&self) {
        let ended = mem::take(&mut *self.lock());
        ended.closed().await;
    }

    fn lock(&self) -> MutexGuard<'_, watch::Sender<()>> {
        self.ended.lock().expect("no holder of the requests panics")
    }
}
