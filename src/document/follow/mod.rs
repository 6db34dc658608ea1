//! Following the log: which entries read it, how other processes catch up, and
//! when a process may rely on its configuration.
//!
//! A few entries read the log. All other processes compare `(head, digest)` with
//! the entries that they report to and fetch the records they lack, or a
//! checkpoint. A process only ever moves to a higher head, so the configuration
//! never reverts.
//!
//! A process that just started has no configuration, and the configuration of a
//! process that was paused may be out of date. Both admit no work until they have
//! read the log to its end, or learned from a peer that their head was its end
//! since then, or a majority of the listed entries has answered. Only entries
//! that once passed this check count towards the majority. A head that a
//! majority of the entries held is therefore found by every later process, even
//! if hosts are replaced during an outage of the log.

mod checkpoint_search;
mod config_answer;
mod follower;
mod log_page;
mod log_schedule;
mod notice;
mod readiness;
mod recent_records;

pub use config_answer::ConfigAnswer;
pub use config_answer::ConfigStatus;
pub use config_answer::ConfigUpdate;
pub use follower::Follower;
pub use log_page::EncodedRecord;
pub use log_page::LogPage;
pub use log_schedule::LogReader;
pub use log_schedule::LogSchedule;
pub use log_schedule::PERMANENT_LOG_READERS;
pub use log_schedule::log_rank;
pub use notice::Notice;
pub use readiness::Readiness;
