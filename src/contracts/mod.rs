//! What each branch may use: shares, the fair queue and admission.

mod admission;
mod branch_key;
mod branch_share;
mod fair_queue;
mod queue_refusal;

pub use admission::Admission;
pub use branch_key::BranchKey;
pub use branch_share::BranchShare;
pub use fair_queue::FairQueue;
pub use fair_queue::Finished;
pub use fair_queue::Popped;
pub use fair_queue::Pushed;
pub use fair_queue::QueueLimits;
pub use fair_queue::Waiting;
pub use queue_refusal::QueueRefusal;
