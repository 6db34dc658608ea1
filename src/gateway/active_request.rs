use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::gateway::GatewayState;

/// Time for a write to a slow client after the grace period of a stop is over.
const LAST_WRITE_TIME: Duration = Duration::from_millis(20);

/// Counts a request as active, from its first byte on, until it is dropped.
#[derive(Debug)]
pub struct ActiveRequest(Rc<RefCell<GatewayState>>);

impl ActiveRequest {
    /// Begins to count a request.
    pub fn begin(state: &Rc<RefCell<GatewayState>>) -> Self {
        state.borrow_mut().active_requests += 1;
        Self(state.clone())
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.borrow_mut().active_requests -= 1;
    }
}

/// Waits until the grace period of a stop is over.
pub async fn wait_until_ending(state: &RefCell<GatewayState>) {
    let notice = state.borrow().end_notice.clone();
    let ending = notice.notified();
    if !state.borrow().is_ending {
        ending.await;
    }
}

/// Waits until a write to a client has to end, as the process does.
pub async fn wait_until_writes_end(state: &RefCell<GatewayState>) {
    wait_until_ending(state).await;
    tokio::time::sleep(LAST_WRITE_TIME).await;
}
