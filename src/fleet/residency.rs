/// Regions in which a request may be served: those that every list which applies to it allows.
///
/// An empty list of the configuration allows every region.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Residency {
    /// None for every region; empty when the lists have no region in common.
    regions: Option<Vec<String>>,
}

impl Residency {
    /// Regions that `allowed_regions` allows.
    pub fn new(allowed_regions: &[String]) -> Self {
        let mut residency = Self::default();
        residency.narrow(allowed_regions);
        residency
    }

    /// Applies a further list.
    pub fn narrow(&mut self, allowed_regions: &[String]) {
        if allowed_regions.is_empty() {
            return;
        }
        match &mut self.regions {
            Some(regions) => regions.retain(|region| allowed_regions.contains(region)),
            None => self.regions = Some(allowed_regions.to_vec()),
        }
    }

    /// Whether some list applies.
    pub fn is_restricted(&self) -> bool {
        self.regions.is_some()
    }

    /// Whether the request may be served in `region`; one that is not known is outside of
    /// every list.
    pub fn allows(&self, region: Option<&str>) -> bool {
        match &self.regions {
            None => true,
            Some(regions) => region.is_some_and(|region| regions.iter().any(|r| r == region)),
        }
    }
}
