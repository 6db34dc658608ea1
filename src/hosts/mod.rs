//! Hosts, their incarnations, and the roster of live hosts.
//!
//! Each process sends heartbeats to a few entries, and a full report when part
//! of its state that rarely changes has changed. The platform's list of hosts
//! lags and may be empty or incomplete during a fault, so messages received
//! from a host take precedence over the list.

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
pub use host::HostStatus;
pub use host::SILENCE_MS;
pub use host_key::HostKey;
pub use host_record::HostRecord;
pub use host_record::HostRole;
pub use host_record::ListedState;
pub use report::ConfigPosition;
pub use report::HostedVersion;
pub use report::Load;
pub use report::Report;
pub use report::ReportAnswer;
pub use report::VersionProgress;
pub use roster::HOST_EXPIRY_MS;
pub use roster::HeartbeatOutcome;
pub use roster::ListOutcome;
pub use roster::REMOVAL_DELAY_MS;
pub use roster::ReportOutcome;
pub use roster::Roster;
