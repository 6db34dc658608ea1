//! HTTP client and server of all roles, and the capacity of links between hosts.
//!
//! Requests between this system's processes have MessagePack bodies and carry the
//! shared key. The platform and clients are served with JSON.

pub mod raw_bytes;

mod arrived_data;
mod body_parts;
mod body_timeout;
mod call_rejection;
mod deadline_body;
mod drain_end;
mod errors;
mod guarded_body;
mod http_client;
mod http_server;
mod request_gate;
mod request_memory;
mod requests_under_way;
mod simulated_partition;
mod token_bucket;

pub use arrived_data::wait_for_data;
pub use call_rejection::CallRejection;
pub use deadline_body::DeadlineBody;
pub use drain_end::DrainEnd;
pub use drain_end::LAST_ANSWERS_TIME;
pub use errors::LinkError;
pub use http_client::HttpClient;
pub use http_client::SHARED_KEY_HEADER;
pub use http_client::decode_json;
pub use http_server::ServeOptions;
pub use http_server::decode_call;
pub use http_server::decode_rmp;
pub use http_server::has_shared_key;
pub use http_server::rmp_response;
pub use http_server::serve;
pub use request_gate::RequestGate;
pub use request_memory::RequestMemory;
pub use requests_under_way::RequestsUnderWay;
pub use simulated_partition::SimulatedPartition;
pub use token_bucket::TokenBucket;
