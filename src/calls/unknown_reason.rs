use serde::Deserialize;
use serde::Serialize;

/// Why it is not known whether a call ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The endpoint process that the permit names is gone.
    PastIncarnation,
    /// The endpoint no longer remembers the permit's epoch.
    EpochDropped,
    /// The endpoint did not answer, and not to questions either.
    EndpointLost,
    /// The connection broke and the endpoint accepts none any more.
    EndpointGone,
    /// The service's answer was lost after the call was passed on.
    ServiceLost,
    /// The call ran and its answer was too large to be kept.
    AnswerDropped,
    /// The call still ran at the deadline.
    StillRunning,
    /// Another send of the same permit may have run.
    OtherSend,
}

impl UnknownReason {
    /// Stable code, as shown to callers and in metrics.
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

    /// When a further send of the same permit may tell more.
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
