//! Choice of endpoints, and retry budgets.

mod retry_budget;
mod router;
