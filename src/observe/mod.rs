//! Logs with numbered events, and metrics in the Prometheus text format.
//!
//! `emit_event` logs an event on standard error through the `log` crate. [`LogLine`]
//! writes an event to standard output as JSON, without ever blocking its thread.

mod event;
mod library_pace;
mod log_line;
mod logging;
mod metrics;
mod port_refusals;
mod refusal_pace;

pub use event::Event;
pub use event::emit_event;
pub use log_line::LogLine;
pub use log_line::flush_log;
pub use log_line::flush_log_every;
pub use log_line::start_log_writer;
pub use log_line::unix_ms;
pub use logging::init_logging;
pub use metrics::CounterKind;
pub use metrics::Metrics;
pub use port_refusals::PortRefusals;
pub use refusal_pace::RefusalPace;
