use crate::document::Section;
use crate::document::SectionFault;
use crate::document::section_reader::SectionReader;
use crate::weights::Digest;

/// Most replicas of one model.
const MAX_REPLICAS: u32 = 10_000;

/// A model or adapter, the version to serve and how many replicas serve it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelSection {
    /// Name of the model.
    pub name: String,
    /// Version to serve.
    pub version: String,
    /// Manifest of that version.
    pub manifest: Digest,
    /// Replicas wanted.
    pub replicas: u32,
    /// Replicas that may change at once.
    pub step_replicas: u32,
    /// Model this one is an adapter of.
    pub base: Option<String>,
}

impl ModelSection {
    pub(super) const KIND: &'static str = "model";

    const KEYS: [&'static str; 5] = ["version", "manifest", "replicas", "step_replicas", "base"];

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
