use crate::fleet::SharedRetryBudget;
use crate::gateway::GatewaySettings;

/// Retry budget of each service.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    // Ascending by name of the service.
    budgets: Vec<(String, SharedRetryBudget)>,
}

impl RetryBudgets {
    /// Budget of `service`; a new one has the limits of `settings`.
    pub fn find_or_add(
        &mut self,
        service: &str,
        settings: &GatewaySettings,
    ) -> &mut SharedRetryBudget {
        let at = match self
            .budgets
            .binary_search_by(|budget| budget.0.as_str().cmp(service))
        {
            Ok(at) => at,
            Err(at) => {
                let budget = SharedRetryBudget::new(
                    settings.retry_ratio,
                    settings.extra_retries,
                    settings.retry_window_ms,
                );
                self.budgets.insert(at, (service.to_owned(), budget));
                at
            }
        };
        &mut self.budgets[at].1
    }

    /// Sets the limits of all budgets.
    pub fn set_limits(&mut self, retry_ratio: f64, extra_retries: f64) {
        for (_, budget) in &mut self.budgets {
            budget.set_limits(retry_ratio, extra_retries);
        }
    }
}
