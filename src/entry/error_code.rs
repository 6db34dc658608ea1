use actix_web::http::StatusCode;

/// Declares the codes with their names, HTTP statuses and meanings.
macro_rules! error_codes {
    ($($variant:ident $name:literal $status:ident $meaning:literal;)*) => {
        /// Stable code of an error answer; docs/API.md lists them.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum ErrorCode {
            $(#[doc = $meaning] $variant,)*
        }

        impl ErrorCode {
            /// Every code.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Name of the code in answers and metrics; part of the interface.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// HTTP status of an answer with this code.
            pub fn status(self) -> StatusCode {
                match self { $(Self::$variant => StatusCode::$status,)* }
            }

            /// Meaning of the code, in one sentence.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$variant => $meaning,)* }
            }
        }
    };
}

error_codes! {
    BadJson "bad_json" BAD_REQUEST "The body is not the JSON that the call expects.";
    BadRequest "bad_request" BAD_REQUEST "A parameter is missing or invalid.";
    MissingToken "missing_token" UNAUTHORIZED "The call carries no bearer token.";
    WrongToken "wrong_token" UNAUTHORIZED "The bearer token does not belong to the branch or to a team.";
    Forbidden "forbidden" FORBIDDEN "The branch or team has no permission for this.";
    UnknownPath "unknown_path" NOT_FOUND "The path does not exist.";
    UnknownBranch "unknown_branch" NOT_FOUND "The configuration has no such branch.";
    UnknownModel "unknown_model" NOT_FOUND "The configuration has no such model.";
    UnknownService "unknown_service" NOT_FOUND "The configuration has no such service.";
    UnknownSection "unknown_section" NOT_FOUND "The configuration has no such section.";
    WrongMethod "wrong_method" METHOD_NOT_ALLOWED "The path does not accept this method.";
    RequestTimeout "request_timeout" REQUEST_TIMEOUT "The client took too long to send its request.";
    Conflict "conflict" CONFLICT "Another edit of the section was accepted first.";
    BodyTooLarge "body_too_large" PAYLOAD_TOO_LARGE "The body exceeds the limit of the entry.";
    InvalidEdit "invalid_edit" UNPROCESSABLE_ENTITY "The edit holds unknown keys or bad values.";
    RequestBlocked "request_blocked" UNPROCESSABLE_ENTITY "Several endpoints crashed while they ran this request.";
    Overloaded "overloaded" TOO_MANY_REQUESTS "The queues are full; not run.";
    RetryBudgetSpent "retry_budget_spent" TOO_MANY_REQUESTS "The branch has used its retry budget; not run.";
    Internal "internal" INTERNAL_SERVER_ERROR "The process reached an unexpected state.";
    BackendFailed "backend_failed" BAD_GATEWAY "The engine or service answered with an error.";
    StreamBroken "stream_broken" BAD_GATEWAY "The answer was interrupted and could not be resumed.";
    NotReady "not_ready" SERVICE_UNAVAILABLE "The process has no confirmed configuration yet.";
    NoReplica "no_replica" SERVICE_UNAVAILABLE "No live endpoint serves the model or service.";
    NotRun "not_run" SERVICE_UNAVAILABLE "The call was not run and will not be run.";
    Leaving "leaving" SERVICE_UNAVAILABLE "The process is leaving and takes no new work; not run.";
    NoMemory "no_memory" SERVICE_UNAVAILABLE "The entry holds too many bodies of other requests; not run.";
    LogUnavailable "log_unavailable" SERVICE_UNAVAILABLE "The platform's log does not answer.";
    OutcomeUnknown "outcome_unknown" GATEWAY_TIMEOUT "It is not known whether the call ran.";
    DeadlinePassed "deadline_passed" GATEWAY_TIMEOUT "The deadline passed before the call ran.";
}
