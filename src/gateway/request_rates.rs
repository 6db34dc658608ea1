use crate::fleet::RateMeter;

/// Rates at which this entry gets requests for each service.
#[derive(Debug, Default)]
pub struct RequestRates {
    // Ascending by name of the service.
    rates: Vec<(String, RateMeter)>,
}

impl RequestRates {
    /// Counts a request for `service`.
    pub fn record_request(&mut self, service: &str, now_ms: u64) {
        let request_rates = &mut self.rates;
        let at = match request_rates.binary_search_by(|rate| rate.0.as_str().cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                request_rates.insert(at, (service.to_owned(), RateMeter::default()));
                at
            }
        };
        request_rates[at].1.record_event(now_ms);
    }

    /// Rate of requests for `service`, per ms; None before the first.
    pub fn requests_per_ms(&self, service: &str, now_ms: u64) -> Option<f64> {
        let at = self
            .rates
            .binary_search_by(|rate| rate.0.as_str().cmp(service))
            .ok()?;
        Some(self.rates[at].1.events_per_ms(now_ms))
    }
}
