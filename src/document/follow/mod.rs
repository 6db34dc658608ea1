//! Following the log: who reads it, how the rest catch up, and when a process
//! may rely on what it holds.
//!
//! A few entries read the log; everybody else compares `(head, digest)` with
//! the entries it talks to and pulls the records it lacks, or a checkpoint.
//! The higher head always wins, so nothing reverts.
//!
//! A fresh process holds nothing and a woken one may be out of date. Neither
//! admits work before it has read the log to its end, or a majority of the
//! listed entries has answered. Only entries that are past this themselves
//! count towards the majority: so a head that was once held by a majority is
//! found again by every later process, even when hosts are replaced while the
//! log is down.

mod checkpoint_search;
mod follower;
mod log_page;
mod log_schedule;
mod notice;
mod peer_answer;
mod readiness;
mod recent_records;

pub use follower::Follower;
pub use log_page::LogPage;
pub use log_page::RawLogRecord;
pub use log_schedule::LogReader;
pub use log_schedule::LogSchedule;
pub use log_schedule::PERMANENT_LOG_READERS;
pub use log_schedule::log_rank;
pub use notice::Notice;
pub use peer_answer::ConfigUpdate;
pub use peer_answer::PeerAnswer;
pub use peer_answer::PeerStatus;
pub use readiness::Readiness;
