//! Structured logs with numbered events, and metrics.

mod event;
mod logging;
mod metrics;

pub use event::Event;
pub use event::emit;
pub use logging::init_logging;
pub use metrics::Metrics;
pub use metrics::Tally;
