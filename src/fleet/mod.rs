//! The view that one process has of the fleet, and the decisions based on it.
//!
//! It holds the configured routes and services, the replicas with their observed
//! health and load, the other entries, and the declared versions of weights. From
//! these it decides on placement, admission and retries. The module does no I/O
//! except queueing log lines; the caller passes the time, in ms of a monotonic clock.

mod admission;
mod candidates;
mod catalog;
mod declarations;
mod directory_choice;
mod engine_load;
mod heartbeat_gaps;
mod listing_turn;
mod load_spread;
mod log_position;
mod peers;
mod rate_meter;
mod recent_deadlines;
mod relay_entry;
mod rendezvous;
mod replica;
mod replica_notice;
mod replica_table;
mod shared_retry_budget;
mod start_delays;
mod topic_table;

pub use admission::AdmissionDecision;
pub use admission::AdmissionInput;
pub use admission::RefusalCause;
pub use admission::admit_request;
pub use admission::begins_in_time;
pub use admission::is_predicted_to_have_begun;
pub use admission::placement_limit_ms;
pub use admission::predicted_first_event_ms;
pub use candidates::CandidateInput;
pub use candidates::Exclusion;
pub use candidates::candidates;
pub use catalog::Catalog;
pub use catalog::ClientLimits;
pub use catalog::EngineProfile;
pub use catalog::ModelProfile;
pub use catalog::OriginProfile;
pub use catalog::Route;
pub use catalog::RouteKind;
pub use catalog::Service;
pub use catalog::Workspace;
pub use declarations::Declaration;
pub use declarations::DeclarationRecord;
pub use declarations::Declarations;
pub use directory_choice::ListedEntry;
pub use directory_choice::choose_entries;
pub use engine_load::EngineLoad;
pub use heartbeat_gaps::HeartbeatGaps;
pub use heartbeat_gaps::remote_beats;
pub use listing_turn::ListingTurn;
pub use load_spread::choose_by_level;
pub use log_position::LogPosition;
pub use peers::DeclarationAge;
pub use peers::EntryHeartbeat;
pub use peers::EntryRegistration;
pub use peers::LoadReport;
pub use peers::PeerTable;
pub use rate_meter::RateMeter;
pub use recent_deadlines::RecentDeadlines;
pub use relay_entry::RelayEntry;
pub use relay_entry::assign_pieces;
pub use rendezvous::rendezvous_choose_weighted;
pub use rendezvous::rendezvous_order;
pub use rendezvous::rendezvous_rank;
pub use replica::ReplicaRecord;
pub use replica::ReplicaState;
pub use replica_notice::ReplicaNotice;
pub use replica_table::Replica;
pub use replica_table::ReplicaKey;
pub use replica_table::ReplicaTable;
pub use shared_retry_budget::SharedRetryBudget;
pub use start_delays::StartDelay;
pub use start_delays::StartDelays;
pub use topic_table::ListingChanges;
pub use topic_table::RecordVersion;
pub use topic_table::Topic;
pub use topic_table::TopicRecord;
pub use topic_table::TopicTable;
