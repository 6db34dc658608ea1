//! The entry process on a platform that has its own wire protocol: accepts the
//! requests of clients, sends each to a replica, and returns the responses.
//!
//! This module does the input and output. What the entry knows of replicas and
//! other entries, and how it chooses a replica, is in [`crate::fleet`]. Header
//! names and record formats of the platform are behind the traits in `ports`,
//! which an adapter implements.

mod active_request;
mod answer_memory;
mod answer_parts;
mod changed_suspects;
mod client_listener;
mod connection_reuse;
mod crash_signs;
mod datagram;
mod end_causes;
mod event_splitter;
mod event_stream;
mod exchange;
mod fetch;
mod follow;
mod forward;
mod forwarding;
mod gateway_handle;
mod handlers;
mod heartbeat_targets;
mod heartbeats;
mod leaving_notices;
mod local_refusals;
mod local_response;
mod longest_deadlines;
mod measured_source;
mod piece_cache;
mod placement;
mod ports;
mod process;
mod read_ahead;
mod received_datagrams;
mod records_reply;
mod relay;
mod reload;
mod replicas_confirmation;
mod request_outcome;
mod request_rates;
mod request_routing;
mod required_versions;
mod retry_budgets;
mod routed_request;
mod running_send;
mod send_results;
mod sending;
mod settings;
mod state;
mod store_status;
mod suspect_notices;
mod topic_records;
mod topic_sink;

pub use datagram::Datagram;
pub use datagram::HeldPieces;
pub use datagram::KeptConfig;
pub use datagram::LeavingReplica;
pub use datagram::SuspectNotice;
pub use datagram::for_each_datagram;
pub use event_splitter::EventSplitter;
pub use event_splitter::StreamEvent;
pub use fetch::FetchRange;
pub use fetch::fetch_records;
pub use follow::follow_topic;
pub use follow::read_changes;
pub use follow::read_listing;
pub use heartbeat_targets::registered_entries;
pub use measured_source::MeasuredSource;
pub use piece_cache::MANIFEST_PATH;
pub use piece_cache::PIECE_PATH;
pub use ports::Credential;
pub use ports::Dialect;
pub use ports::DirectoryQuery;
pub use ports::InvalidRecord;
pub use ports::Listing;
pub use ports::OperatorRecord;
pub use ports::RecordDecoder;
pub use ports::RecordSource;
pub use ports::RequestFacts;
pub use ports::ResponseFacts;
pub use ports::SendFacts;
pub use ports::SourceError;
pub use ports::TopicRead;
pub use process::run_entry_process;
pub use records_reply::RecordsReply;
pub use records_reply::RecordsReplyError;
pub use reload::wait_for_changed_settings;
pub use settings::GatewaySettings;
pub use state::GatewayState;
pub use topic_records::log_rejected_record;
pub use topic_sink::TopicSink;
