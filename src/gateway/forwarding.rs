use std::net::SocketAddr;

use tokio::time::Instant;

use crate::gateway::event_stream::AnswerPart;
use crate::gateway::exchange::ReplicaResponse;
use crate::gateway::relay::StreamRelay;
use crate::gateway::routed_request::RoutedRequest;
use crate::gateway::running_send::RunningSends;
use crate::gateway::running_send::SendProgress;

/// Results of the sends of one request so far.
#[derive(Debug, Default)]
pub(super) struct AttemptHistory {
    /// Number of connections to replicas that could not be opened.
    pub(super) failed_connections: u32,
    /// Whether a replica may have run the request.
    pub(super) may_have_run: bool,
    /// Error response of a replica, used if no retry succeeds.
    pub(super) fallback_response: Option<ReplicaResponse>,
    /// Label of the cause of the last failed send.
    pub(super) last_cause: &'static str,
    /// Id of the replica that was chosen last.
    pub(super) replica: String,
    /// Whether a second send that was taken out of the retry budget has reached no replica.
    pub(super) has_unused_retry: bool,
    /// Address of a replica that must be checked for a crash before the next send.
    pub(super) unchecked_address: Option<SocketAddr>,
    /// What was received of the last answer that had a valid head.
    pub(super) last_part: Option<AnswerPart>,
}

/// What happened first while sends were under way.
pub(super) enum Step {
    /// A send has brought something.
    Progress(usize, SendProgress),
    /// The client closed its connection.
    ClientLeft,
    /// The request has become refused because it is suspected of crashes.
    Refused,
    /// It is time to decide what becomes of this send.
    CheckDue(usize),
    /// The grace period of a stop is over.
    Ending,
    /// Nothing that changes the request.
    Nothing,
    /// The deadline of the request has passed.
    TimedOut,
}

/// A request that is being forwarded, with what its client and its replicas have got so far.
pub(super) struct Forwarding<'a> {
    pub(super) request: RoutedRequest,
    pub(super) relay: StreamRelay,
    pub(super) history: AttemptHistory,
    pub(super) sends: RunningSends<'a>,
    // Steps taken since the deadline passed.
    pub(super) late_steps: u32,
    // Time until which other runs may clear the request, which has become refused.
    pub(super) refused_until: Option<Instant>,
}
