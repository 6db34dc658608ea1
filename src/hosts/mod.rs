//! Hosts, their incarnations, and the merged live list.
//!
//! Each process sends a beat to a few entries every second, and a full report
//! when something seldom changed. The platform's list lags and may be empty or
//! halved, so what a process hears itself goes before it.

mod heartbeat;
mod host;
mod host_key;
mod host_record;
mod report;
mod roster;

pub use heartbeat::Datagram;
pub use heartbeat::Heartbeat;
pub use heartbeat::HeartbeatAnswer;
pub use heartbeat::HeartbeatKey;
pub use heartbeat::NameTag;
pub use heartbeat::StateTag;
pub use host::Host;
pub use host::SILENCE_MS;
pub use host::Standing;
pub use host_key::HostKey;
pub use host_record::HostRecord;
pub use host_record::HostRole;
pub use host_record::HostState;
pub use report::ConfigMark;
pub use report::Load;
pub use report::Progress;
pub use report::Report;
pub use report::ReportAnswer;
pub use report::Served;
pub use roster::DOUBT_MS;
pub use roster::FORGET_MS;
pub use roster::Heard;
pub use roster::HeartbeatOutcome;
pub use roster::ListTaken;
pub use roster::Roster;
