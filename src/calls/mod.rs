//! Permits, outcomes, routing, retry budgets and crash suspects of calls.
//!
//! The caller may send a call with the same permit several times, to any entry;
//! each of these requests is a send. A dispatch is the request with which an entry
//! passes a send on to the endpoint.
//!
//! A call that must not run twice needs a permit, which names one incarnation of
//! one endpoint. The permit table of that endpoint runs each nonce at most once,
//! answers further sends with the stored outcome, and records each refusal before
//! it is reported. An entry reports "not run" only where `determine_outcome`
//! allows it.

mod answer_under_way;
mod begin_sign;
mod broken_runs;
mod call_outcome;
mod candidate;
mod close_signs;
mod completed_runs;
mod dispatch_ledger;
mod endpoint_stats;
mod epoch_counter;
mod first_token_times;
mod generate_call;
mod generate_frame;
mod kept_cause;
mod kept_causes;
mod nonce;
mod part_evidence;
mod pause_detector;
mod permit;
mod permit_table;
mod refusal_reason;
mod retry_budget;
mod router;
mod run_causes;
mod run_times;
mod send_result;
mod service_call;
mod stop_admission;
mod stored_answer;
mod suspect_exchange;
mod suspect_refusals;
mod suspect_slot;
mod suspect_table;
mod suspect_trials;
mod suspicion;
mod unknown_reason;

pub use answer_under_way::AnswerDecision;
pub use answer_under_way::AnswerStage;
pub use answer_under_way::AnswerUnderWay;
pub use answer_under_way::ReplicaSign;
pub use begin_sign::BeginSign;
pub use broken_runs::BrokenRun;
pub use broken_runs::BrokenRunKind;
pub use broken_runs::BrokenRuns;
pub use broken_runs::CrashSign;
pub use call_outcome::CallOutcome;
pub use candidate::Candidate;
pub use candidate::stable_hash;
pub use close_signs::CloseDoubt;
pub use close_signs::CloseSigns;
pub use close_signs::PortSign;
pub use completed_runs::CompletedRuns;
pub use dispatch_ledger::DispatchDecision;
pub use dispatch_ledger::DispatchLedger;
pub use epoch_counter::EpochCounter;
pub use first_token_times::FirstTokenTimes;
pub use generate_call::GenerateCall;
pub use generate_frame::FrameBuffer;
pub use generate_frame::FrameError;
pub use generate_frame::GenerateFrame;
pub use generate_frame::StreamFault;
pub use kept_cause::KeptCause;
pub use kept_causes::KeptCauses;
pub use nonce::Nonce;
pub use nonce::NonceError;
pub use part_evidence::PART_REFUSED_AT_CRASHES;
pub use pause_detector::PauseDetector;
pub use permit::Permit;
pub use permit::PermitKey;
pub use permit::PermitTarget;
pub use permit_table::CallDecision;
pub use permit_table::PermitLimits;
pub use permit_table::PermitStatus;
pub use permit_table::PermitTable;
pub use refusal_reason::RefusalReason;
pub use retry_budget::RetryBudget;
pub use router::AttemptOutcome;
pub use router::RouteRequest;
pub use router::Router;
pub use run_causes::RunCauses;
pub use run_times::RunTimes;
pub use send_result::PermitHistory;
pub use send_result::SendResult;
pub use send_result::determine_outcome;
pub use service_call::CallReport;
pub use service_call::HEARTBEAT_BYTE;
pub use service_call::PermitStatusQuery;
pub use service_call::ServiceCall;
pub use service_call::ServiceReply;
pub use stop_admission::StopAdmission;
pub use stored_answer::StoredAnswer;
pub use suspect_slot::SuspectSlot;
pub use suspect_table::CrashId;
pub use suspect_table::REFUSED_AT_CRASHES;
pub use suspect_table::SuspectRecord;
pub use suspect_table::SuspectStatus;
pub use suspect_table::SuspectTable;
pub use suspect_table::fingerprint;
pub use unknown_reason::UnknownReason;
