use std::rc::Rc;

use bytes::Bytes;
use tokio::time::Instant;

use crate::calls::RunCauses;
use crate::fleet::Catalog;
use crate::fleet::ReplicaKey;
use crate::fleet::Route;
use crate::gateway::RequestFacts;
use crate::gateway::relay::ClientFraming;
use crate::http1::HeldRequest;
use crate::http1::RequestHead;

/// A completely received request.
#[derive(Debug)]
pub struct ReadRequest {
    /// Head as the client sent it.
    pub head: RequestHead,
    /// Complete body.
    pub body: Bytes,
    /// Room that the head and the body take.
    pub held: HeldRequest,
    /// Time at which the head was complete.
    pub received_at: Instant,
}

/// A completely received request with the route, service and client that it belongs to.
#[derive(Debug)]
pub struct RoutedRequest {
    /// Head as the client sent it.
    pub head: RequestHead,
    /// Complete body.
    pub body: Bytes,
    /// Room that the head and the body take; returned when the request is dropped.
    pub _held: HeldRequest,
    /// Values decoded from its headers.
    pub facts: RequestFacts,
    /// Configuration by which it was routed.
    pub catalog: Rc<Catalog>,
    /// Route that it matched.
    pub route: Route,
    /// Service chosen by the route's traffic split.
    pub service: String,
    /// Workspace of the client.
    pub workspace: Option<String>,
    /// Rank in an engine's queue, from 0 to 9; 0 is served first.
    pub urgency: u8,
    /// Time at which its head was complete.
    pub received_at: Instant,
    /// Time at which it had arrived whole.
    pub routed_at: Instant,
    /// Time at which the final response is due.
    pub deadline: Instant,
    /// Least time that the client had already waited, estimated from its deadline, in
    /// ms.
    pub waited_before_ms: u64,
    /// What may be the cause if it crashes a replica; the digest of the request is over
    /// service, path, caller and body.
    pub causes: RunCauses,
    /// Replicas that were chosen for it so far.
    pub tried_replicas: Vec<ReplicaKey>,
    /// Number of sends that reached a replica.
    pub sends: u32,
}

impl RoutedRequest {
    /// Time until the final response is due, in ms.
    pub fn left_ms(&self) -> u64 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    /// Time since it was received, in ms.
    pub fn waited_ms(&self) -> u64 {
        u64::try_from(self.received_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// How the end of a stream is marked for this client.
    pub fn client_framing(&self) -> ClientFraming {
        if self.head.is_http10 && self.route.kind.is_streaming() {
            ClientFraming::UntilClose
        } else {
            ClientFraming::Chunked
        }
    }

    /// Whether the route allows one more attempt.
    pub fn has_attempts_left(&self) -> bool {
        self.sends < self.route.max_attempts
    }
}
