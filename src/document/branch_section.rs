use crate::document::Section;
use crate::document::SectionFault;
use crate::document::section_reader::SectionReader;
use crate::weights::Digest;

/// Largest allowed weight of a branch.
const MAX_WEIGHT: u32 = 1_000_000;

/// Weight of a branch whose section has no key `weight`.
const DEFAULT_WEIGHT: u32 = 1;

/// Section of a branch: its token, its share of the fleet and what it may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BranchSection {
    /// Name of the branch.
    pub name: String,
    /// BLAKE3 digest of the branch's bearer token.
    pub token_digest: Digest,
    /// Weight of the branch in the fair queues.
    pub weight: u32,
    /// Share of the fleet that the branch may always use, in percent.
    pub share_percent: u32,
    /// Share of the fleet that the branch may use in a burst, in percent.
    pub burst_percent: u32,
    /// Models that the branch may use.
    pub models: Vec<String>,
    /// Services that the branch may call.
    pub services: Vec<String>,
}

impl BranchSection {
    /// First word of the name of a branch section.
    pub(super) const KIND: &'static str = "branch";

    /// Keys allowed in a branch section.
    const KEYS: [&'static str; 6] = [
        "token_digest",
        "weight",
        "share_percent",
        "burst_percent",
        "models",
        "services",
    ];

    /// Parses a branch section; returns all faults found if it is invalid.
    pub(super) fn parse(section: &Section) -> Result<Self, Vec<SectionFault>> {
        let mut reader = SectionReader::new(section, &Self::KEYS)?;
        let share_percent = reader.required_number("share_percent", 0..=100);
        let burst_percent = reader.number_or("burst_percent", 0..=100, 100);
        if burst_percent < share_percent {
            let allowed = format!("at least share_percent ({share_percent})");
            reader.add_invalid_value("burst_percent", burst_percent.to_string(), &allowed);
        }
        let branch = Self {
            name: section.label().to_owned(),
            token_digest: reader.required_digest("token_digest"),
            weight: reader.number_or("weight", 1..=MAX_WEIGHT, DEFAULT_WEIGHT),
            share_percent,
            burst_percent,
            models: reader.list("models"),
            services: reader.list("services"),
        };
        reader.into_result(branch)
    }
}
