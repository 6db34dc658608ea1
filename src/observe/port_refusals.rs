use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use crate::observe::CounterKind;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::observe::Metrics;
use crate::observe::RefusalPace;

/// Counts and logs the peers that are refused at the ports of a process; clones share it.
#[derive(Debug, Clone)]
pub struct PortRefusals {
    metrics: Rc<Metrics>,
    pace: Rc<RefCell<RefusalPace>>,
}

impl PortRefusals {
    /// Counts in `metrics`.
    pub fn new(metrics: Rc<Metrics>) -> Self {
        Self {
            metrics,
            pace: Rc::default(),
        }
    }

    /// Records that a peer was refused, or its connection closed, for this cause.
    pub fn record(&self, port: &'static str, cause: &'static str, peer: Option<SocketAddr>) {
        self.metrics
            .add(CounterKind::PeerRefusals, 1, "cause", cause);
        let refused = self.pace.borrow_mut().record(port, cause, Instant::now());
        let Some(refused) = refused else {
            return;
        };
        let line = LogLine::new(Event::PeersRefused)
            .text("port", port)
            .text("cause", cause)
            .number("refused", refused);
        match peer {
            Some(peer) => line.text("peer", peer.to_string()).enqueue(),
            None => line.enqueue(),
        }
    }
}
