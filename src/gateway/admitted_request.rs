use std::rc::Rc;

use tokio::time::Instant;

use crate::fleet::Catalog;
use crate::fleet::ReplicaKey;
use crate::fleet::Route;
use crate::gateway::RequestFacts;
use crate::http1::RequestHead;
use crate::weights::Digest;

/// A request that was read whole and may be forwarded.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// Head, as sent.
    pub head: RequestHead,
    /// Whole body.
    pub body: Vec<u8>,
    /// What its headers say.
    pub facts: RequestFacts,
    /// Configuration that it was admitted under.
    pub catalog: Rc<Catalog>,
    /// Its route.
    pub route: Route,
    /// Service that the route's split chose.
    pub service: String,
    /// Workspace of the caller.
    pub workspace: Option<String>,
    /// Urgency at an engine.
    pub urgency: u8,
    /// When its head was complete.
    pub received_at: Instant,
    /// When its final answer is due.
    pub deadline: Instant,
    /// Least time the client had waited before, by its deadline.
    pub waited_before_ms: u64,
    /// Names what is asked, whoever asks again.
    pub fingerprint: Digest,
    /// Replicas that it was sent to.
    pub tried_replicas: Vec<ReplicaKey>,
    /// Sends that reached a replica.
    pub sends: u32,
}

impl AdmittedRequest {
    /// Time until the final answer is due.
    pub fn left_ms(&self) -> u64 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    /// Time since it arrived.
    pub fn waited_ms(&self) -> u64 {
        u64::try_from(self.received_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Whether the route allows one more replica.
    pub fn has_attempts_left(&self) -> bool {
        self.sends < self.route.max_attempts
    }
}
