use crate::document::Section;
use crate::document::SectionFault;
use crate::document::section_reader::SectionReader;

/// Longest timeout of a service call.
const MAX_TIMEOUT_MS: u32 = 600_000;

/// Timeout of a service that sets none.
const DEFAULT_TIMEOUT_MS: u32 = 10_000;

/// A plain service and which of its calls may be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSection {
    /// Name of the service.
    pub name: String,
    /// Paths whose calls are idempotent.
    pub idempotent: Vec<String>,
    /// Timeout of a call.
    pub timeout_ms: u64,
}

impl ServiceSection {
    pub(super) const KIND: &'static str = "service";

    const KEYS: [&'static str; 2] = ["idempotent", "timeout_ms"];

    pub(super) fn parse(section: &Section) -> Result<Self, Vec<SectionFault>> {
        let mut reader = SectionReader::new(section, &Self::KEYS)?;
        let timeout_ms = reader.number_or("timeout_ms", 1..=MAX_TIMEOUT_MS, DEFAULT_TIMEOUT_MS);
        let service = Self {
            name: section.label().to_owned(),
            idempotent: reader.list("idempotent"),
            timeout_ms: u64::from(timeout_ms),
        };
        reader.into_result(service)
    }
}
