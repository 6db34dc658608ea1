//! Permits, outcomes, routing, retry budgets and crash suspects.
