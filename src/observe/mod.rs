//! Structured logs with numbered events, and metrics.

mod event;
mod log_line;
mod logging;
mod metrics;

pub use event::Event;
pub use event::emit_event;
pub use log_line::LogLine;
pub use log_line::flush_log;
pub use log_line::flush_log_every;
pub use log_line::start_log_writer;
pub use logging::init_logging;
pub use metrics::CounterKind;
pub use metrics::Metrics;
