//! Permits, outcomes, routing, retry budgets and crash suspects.

mod candidate;
mod endpoint_track;
mod retry_budget;
mod router;

pub use candidate::Candidate;
pub use candidate::stable_hash;
pub use retry_budget::RetryBudget;
pub use router::Ask;
pub use router::Ending;
pub use router::Router;
