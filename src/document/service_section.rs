use crate::document::Section;
use crate::document::SectionFault;
use crate::document::section_reader::SectionReader;

/// Largest allowed timeout of a service call, in ms.
const MAX_TIMEOUT_MS: u32 = 600_000;

/// Timeout of a service whose section has no key `timeout_ms`, in ms.
const DEFAULT_TIMEOUT_MS: u32 = 10_000;

/// Section of a plain service: which of its calls are idempotent, and their timeout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSection {
    /// Name of the service.
    pub name: String,
    /// Paths whose calls are idempotent and may be retried.
    pub idempotent: Vec<String>,
    /// Timeout of a call, in ms.
    pub timeout_ms: u64,
}

impl ServiceSection {
    /// First word of the name of a service section.
    pub(super) const KIND: &'static str = "service";

    /// Keys allowed in a service section.
    const KEYS: [&'static str; 2] = ["idempotent", "timeout_ms"];

    /// Parses a service section; returns all faults found if it is invalid.
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
