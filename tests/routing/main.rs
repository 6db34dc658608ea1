//! Routing: choice of endpoints and retry budgets.

mod retry_budget;
mod router;
