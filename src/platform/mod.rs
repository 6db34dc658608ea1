//! Clients of the platform: log, origin, host list, engine and service.

mod engine;
mod engine_api;
mod line_buffer;
mod order_no;

pub use engine::EngineClient;
pub use engine::EngineError;
pub use engine::EngineStream;
pub use engine_api::CancelOrder;
pub use engine_api::EngineFault;
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
pub use line_buffer::LineBuffer;
pub use order_no::OrderNo;
