/// A failure domain whose replicas get no requests.
#[derive(Debug)]
struct EvacuatedDomain {
    name: String,
    /// Whether it was reported that no request of this process is in flight there.
    is_reported_idle: bool,
}

/// The failure domains that the operator has evacuated.
#[derive(Debug, Default)]
pub struct Evacuations {
    // Sorted by name.
    domains: Vec<EvacuatedDomain>,
}

impl Evacuations {
    /// Records whether a failure domain is evacuated; returns whether that has changed.
    pub fn set(&mut self, failure_domain: &str, is_evacuated: bool) -> bool {
        match (self.find(failure_domain), is_evacuated) {
            (Err(at), true) => {
                let domain = EvacuatedDomain {
                    name: failure_domain.to_owned(),
                    is_reported_idle: false,
                };
                self.domains.insert(at, domain);
                true
            }
            (Ok(at), false) => {
                self.domains.remove(at);
                true
            }
            _ => false,
        }
    }

    /// Whether a failure domain is evacuated.
    pub fn contains(&self, failure_domain: &str) -> bool {
        self.find(failure_domain).is_ok()
    }

    /// Names of the evacuated failure domains.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.domains.iter().map(|domain| domain.name.as_str())
    }

    /// Evacuated failure domains in which the last request of this process has ended since
    /// the last call; `in_flight` counts those in a failure domain.
    pub fn newly_idle(&mut self, in_flight: impl Fn(&str) -> u32) -> Vec<String> {
        let mut idle = Vec::new();
        for domain in &mut self.domains {
            if !domain.is_reported_idle && in_flight(&domain.name) == 0 {
                domain.is_reported_idle = true;
                idle.push(domain.name.clone());
            }
        }
        idle
    }

    fn find(&self, failure_domain: &str) -> Result<usize, usize> {
        self.domains
            .binary_search_by(|domain| domain.name.as_str().cmp(failure_domain))
    }
}
