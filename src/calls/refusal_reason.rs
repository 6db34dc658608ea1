use serde::Deserialize;
use serde::Serialize;

/// Wait suggested when the endpoint is busy or unreachable, in milliseconds.
const BUSY_RETRY_MS: u64 = 200;

/// Wait suggested when an endpoint, an epoch or a retry has to become available, in milliseconds.
const UNAVAILABLE_RETRY_MS: u64 = 1_000;

/// Declares the reasons with their codes, suggested waits and meanings.
macro_rules! reasons {
    ($($name:ident $code:literal $retry:expr, $meaning:literal;)*) => {
        /// Why a request was not run.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum RefusalReason {
            $(#[doc = $meaning] $name,)*
        }

        impl RefusalReason {
            /// All reasons, in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Code for callers and metrics; part of the interface.
            pub fn code(self) -> &'static str {
                match self { $(Self::$name => $code,)* }
            }

            /// Suggested wait before a retry, in milliseconds; `None` if a retry is not
            /// suggested.
            pub fn retry_after_ms(self) -> Option<u64> {
                match self { $(Self::$name => $retry,)* }
            }

            /// Meaning in one sentence, for callers.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)* }
            }
        }
    };
}

reasons! {
    Unauthorized "unauthorized" None, "The token names no branch.";
    NotAllowed "not_allowed" None, "The branch may not use this model or service.";
    Malformed "malformed" None, "The request could not be read.";
    BodyTooLarge "body_too_large" None, "The body exceeds the limit.";
    PermitRequired "permit_required" None, "The call may not be repeated and carries no permit.";
    PermitInvalid "permit_invalid" None, "The permit was not issued to this branch for this service.";
    PermitReused "permit_reused" None, "The permit was used for another request.";
    PermitsFull "permits_full" Some(UNAVAILABLE_RETRY_MS), "The endpoint can remember no further permit in this epoch.";
    Withdrawn "withdrawn" Some(0), "The call had not arrived when its nonce was asked for; it will not run.";
    Leaving "leaving" Some(0), "The process is leaving and takes no new work.";
    NotReady "not_ready" Some(UNAVAILABLE_RETRY_MS), "The process has not confirmed its configuration.";
    NoEndpoint "no_endpoint" Some(UNAVAILABLE_RETRY_MS), "No live endpoint serves this model or service.";
    Unreachable "unreachable" Some(BUSY_RETRY_MS), "The endpoint or its service accepted no connection.";
    Replaced "replaced" Some(0), "The endpoint process that the permit names was replaced before the call arrived.";
    PermitExpired "permit_expired" Some(0), "The permit's epoch was over before the call arrived.";
    Overloaded "overloaded" Some(BUSY_RETRY_MS), "The queue is full.";
    OverShare "over_share" Some(BUSY_RETRY_MS), "The branch exceeds its share.";
    DeadlinePassed "deadline_passed" None, "The deadline passed before the request was run.";
    Paused "paused" Some(UNAVAILABLE_RETRY_MS), "The process was paused and the call may be past its deadline.";
    RetryBudgetSpent "retry_budget_spent" Some(UNAVAILABLE_RETRY_MS), "The branch has no retries left.";
    SuspectBusy "suspect_busy" Some(UNAVAILABLE_RETRY_MS), "The request was near a crash and another such request runs here.";
    CrashSuspect "crash_suspect" None, "Endpoints that ran this request crashed.";
}
