//! Decides whether the end of a connection is the end of an answer that has neither a length
//! nor chunks.
//!
//! The load pattern: most of these connections end as their answers are whole, and a few since
//! their replica has crashed, whose system closes them in the same way. Taking the second for
//! the first passes a part on as whole; the reverse runs a request once more, or fails it where
//! it may run only once. So an end counts unless a sign of a crash is there. What tells nothing
//! is no sign: a port that does not answer in time may belong to a busy replica, or to a host
//! that is hard to reach.

/// What a connection attempt to the port of a replica has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PortSign {
    /// A process accepts connections, and keeps them open.
    Open,
    /// No process listens.
    Refused,
    /// Nothing, in the time that there was.
    Unknown,
}

/// What is known of a replica that has closed the connection of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CloseSigns {
    /// What its port has shown since.
    pub port: PortSign,
    /// Whether its incarnation is known to have ended: by a later one, or by another process.
    pub is_ended: bool,
    /// Whether its host reports that it does not answer.
    pub is_reported_down: bool,
    /// Whether other connections to it broke off at the same moment.
    pub has_broken_neighbours: bool,
    /// Whether it has announced that it leaves.
    pub is_leaving: bool,
}

/// Sign for which the end of a connection is not taken for the end of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseDoubt {
    /// The incarnation is known to have ended.
    IncarnationEnded,
    /// Other connections to the replica broke off at the same moment.
    BrokenNeighbours,
    /// No process listens on its port.
    PortRefused,
    /// Its host reports that it does not answer.
    ReportedDown,
}

impl CloseDoubt {
    /// Name of the sign in logs; part of the interface.
    pub fn label(self) -> &'static str {
        match self {
            Self::IncarnationEnded => "incarnation_ended",
            Self::BrokenNeighbours => "broken_neighbours",
            Self::PortRefused => "port_refused",
            Self::ReportedDown => "reported_down",
        }
    }
}

impl CloseSigns {
    /// Whether the answer counts as whole.
    pub fn is_end_of_answer(&self) -> bool {
        self.doubt().is_none()
    }

    /// Sign that speaks against the end of the answer; None if the answer counts as whole.
    pub fn doubt(&self) -> Option<CloseDoubt> {
        if self.is_ended {
            return Some(CloseDoubt::IncarnationEnded);
        }
        if self.has_broken_neighbours {
            return Some(CloseDoubt::BrokenNeighbours);
        }
        // A replica that leaves closes its port before it ends its last answers.
        if self.is_leaving {
            return None;
        }
        match self.port {
            // Seen after the report, and without the process that sent it.
            PortSign::Open => None,
            PortSign::Refused => Some(CloseDoubt::PortRefused),
            PortSign::Unknown => self.is_reported_down.then_some(CloseDoubt::ReportedDown),
        }
    }
}
