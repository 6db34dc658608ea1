//! The contracts of branches and the fair queue that enforces them. By its contract, a
//! branch has a guaranteed share of an endpoint's slots, a weight and a burst limit.

mod branch_key;
mod branch_share;
mod fair_queue;
mod queue_refusal;
mod wait_estimator;

pub use branch_key::BranchKey;
pub use branch_share::BranchShare;
pub use fair_queue::FairQueue;
pub use fair_queue::FinishedRequest;
pub use fair_queue::PopOutcome;
pub use fair_queue::PushOutcome;
pub use fair_queue::QueueLimits;
pub use fair_queue::QueuedRequest;
pub use queue_refusal::QueueRefusal;
pub use wait_estimator::WaitEstimator;
