use crate::fleet::Evacuations;
use crate::fleet::Exclusion;
use crate::fleet::Residency;

/// Rules on the failure domains that a request may be sent to.
#[derive(Clone, Copy)]
pub struct DomainRules<'a> {
    /// Regions in which the request may be served.
    pub residency: &'a Residency,
    /// Failure domains that are evacuated.
    pub evacuations: &'a Evacuations,
    /// Region of each failure domain, as pairs of failure domain and region.
    pub regions: &'a [(String, String)],
}

impl DomainRules<'_> {
    /// Why the request is not sent to replicas of a failure domain; None if it may be.
    pub fn exclusion(&self, failure_domain: &str) -> Option<Exclusion> {
        if self.residency.is_restricted() {
            let pair = self.regions.iter().find(|pair| pair.0 == failure_domain);
            if !self.residency.allows(pair.map(|pair| pair.1.as_str())) {
                return Some(Exclusion::Residency);
            }
        }
        let is_evacuated = self.evacuations.contains(failure_domain);
        is_evacuated.then_some(Exclusion::Evacuated)
    }
}
