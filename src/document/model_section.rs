use crate::document::Section;
use crate::document::SectionFault;
use crate::document::section_reader::SectionReader;
use crate::weights::Digest;

/// Largest allowed number of replicas of one model.
const MAX_REPLICAS: u32 = 10_000;

/// Section of a model or adapter: the version to serve and the number of replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelSection {
    /// Name of the model.
    pub name: String,
    /// Version to serve.
    pub version: String,
    /// Digest of the manifest of that version.
    pub manifest: Digest,
    /// Number of replicas to run.
    pub replicas: u32,
    /// Number of replicas that a rollout may change at the same time.
    pub step_replicas: u32,
    /// Base model, if this model is an adapter.
    pub base: Option<String>,
}

impl ModelSection {
    /// First word of the name of a model section.
    pub(super) const KIND: &'static str = "model";

    /// Keys allowed in a model section.
    const KEYS: [&'static str; 5] = ["version", "manifest", "replicas", "step_replicas", "base"];

    /// Parses a model section; returns all faults found if it is invalid.
    pub(super) fn parse(section: &Section) -> Result<Self, Vec<SectionFault>> {
        let mut reader = SectionReader::new(section, &Self::KEYS)?;
        let model = Self {
            name: section.label().to_owned(),
            version: reader.required_text("version"),
            manifest: reader.required_digest("manifest"),
            replicas: reader.required_number("replicas", 0..=MAX_REPLICAS),
            step_replicas: reader.number_or("step_replicas", 1..=MAX_REPLICAS, 1),
            base: reader.optional_text("base"),
        };
        if model.base.as_ref() == Some(&model.name) {
            reader.add_invalid_value("base", model.name.clone(), "the name of another model");
        }
        reader.into_result(model)
    }
}
