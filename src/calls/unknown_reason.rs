use serde::Deserialize;
use serde::Serialize;

/// Why it is not known whether a call ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The endpoint process that the permit names has been replaced.
    PastIncarnation,
    /// The endpoint no longer remembers the permit's epoch.
    EpochDropped,
    /// The endpoint answered neither the call nor a query for its permit.
    EndpointLost,
    /// The connection broke, and the endpoint accepts no new one.
    EndpointGone,
    /// The service's answer was lost after the endpoint had passed the call on.
    ServiceLost,
    /// The call ran, and its answer was too large to be stored.
    AnswerDropped,
    /// The call was still running at the deadline.
    StillRunning,
    /// Another send of the same permit may have run.
    OtherSend,
}

impl UnknownReason {
    /// Code for callers and metrics; part of the interface.
    pub fn code(self) -> &'static str {
        match self {
            Self::PastIncarnation => "past_incarnation",
            Self::EpochDropped => "epoch_dropped",
            Self::EndpointLost => "endpoint_lost",
            Self::EndpointGone => "endpoint_gone",
            Self::ServiceLost => "service_lost",
            Self::AnswerDropped => "answer_dropped",
            Self::StillRunning => "still_running",
            Self::OtherSend => "other_send",
        }
    }

    /// Suggested wait before the same permit is sent again, in milliseconds; `None` if
    /// a further send cannot learn more.
    pub fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::EndpointLost | Self::EndpointGone | Self::StillRunning | Self::OtherSend => {
                Some(1_000)
            }
            Self::PastIncarnation
            | Self::EpochDropped
            | Self::ServiceLost
            | Self::AnswerDropped => None,
        }
    }
}
