use std::cell::RefCell;
use std::rc::Rc;

use crate::gateway::GatewayState;

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
