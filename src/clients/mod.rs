//! Clients of the processes outside this system: the platform's log, list of hosts and
//! origin of weights, and the engine or service beside an endpoint.

mod engine;
mod engine_api;
mod fencing_number;
mod hosts_client;
mod line_buffer;
mod log_client;
mod origin_client;
mod service_client;

pub use engine::EngineClient;
pub use engine::EngineError;
pub use engine::EngineStream;
pub use engine_api::CancelOrder;
pub use engine_api::EngineErrorCode;
pub use engine_api::EngineRefusal;
pub use engine_api::EngineRole;
pub use engine_api::EngineState;
pub use engine_api::GenerateOrder;
pub use engine_api::LoadAnswer;
pub use engine_api::LoadOrder;
pub use engine_api::LoadedWeights;
pub use engine_api::RoleOrder;
pub use engine_api::StreamEvent;
pub use engine_api::UnloadOrder;
pub use fencing_number::FencingNumber;
pub use hosts_client::HostList;
pub use hosts_client::HostsClient;
pub use line_buffer::LineBuffer;
pub use log_client::LogClient;
pub use log_client::LogReadResponse;
pub use log_client::RawLogRecord;
pub use origin_client::OriginClient;
pub use origin_client::OriginError;
pub use service_client::IDEMPOTENCY_KEY_HEADER;
pub use service_client::REQUEST_ID_HEADER;
pub use service_client::ServiceAnswer;
pub use service_client::ServiceClient;
pub use service_client::ServiceRequest;
