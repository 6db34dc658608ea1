//! Structured logs with numbered events, and metrics.

mod event;
mod metrics;

pub use event::Event;
pub use event::emit;
pub use metrics::Metrics;
pub use metrics::Tally;
