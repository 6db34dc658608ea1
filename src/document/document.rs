use std::fmt;

use crate::document::BranchSection;
use crate::document::ModelSection;
use crate::document::Section;
use crate::document::ServiceSection;
use crate::document::Tombstone;

/// Number of tombstones kept; the one with the lowest revision is removed first.
const MAX_TOMBSTONES: usize = 1_000;

/// Configuration document at one offset of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    sections: Vec<Section>,
    tombstones: Vec<Tombstone>,
}

impl Document {
    pub(super) fn from_parts(sections: Vec<Section>, tombstones: Vec<Tombstone>) -> Self {
        Self {
            sections,
            tombstones,
        }
    }

    /// Returns all sections, ascending by name.
    pub fn sections(&self) -> &[Section] {
        &self.sections
    }

    /// Returns the tombstones of deleted sections, ascending by name.
    pub fn tombstones(&self) -> &[Tombstone] {
        &self.tombstones
    }

    /// Returns the section with the full name `name`, such as `model chat`.
    pub fn section(&self, name: &str) -> Option<&Section> {
        let index = self.section_index(name).ok()?;
        Some(&self.sections[index])
    }

    /// Returns the revision of a section or of its tombstone; 0 if there is neither.
    pub fn revision(&self, name: &str) -> u64 {
        if let Some(section) = self.section(name) {
            return section.revision;
        }
        self.tombstone_index(name)
            .map_or(0, |index| self.tombstones[index].revision)
    }

    /// Returns the models whose section is valid, ascending by name.
    pub fn models(&self) -> Vec<ModelSection> {
        self.sections_of_kind(ModelSection::KIND)
            .filter_map(|section| ModelSection::parse(section).ok())
            .collect()
    }

    /// Returns the model called `label`, if its section is valid.
    pub fn model(&self, label: &str) -> Option<ModelSection> {
        let section = self.section_of_kind(ModelSection::KIND, label)?;
        ModelSection::parse(section).ok()
    }

    /// Returns the branches whose section is valid, ascending by name.
    pub fn branches(&self) -> Vec<BranchSection> {
        self.sections_of_kind(BranchSection::KIND)
            .filter_map(|section| BranchSection::parse(section).ok())
            .collect()
    }

    /// Returns the branch called `label`, if its section is valid.
    pub fn branch(&self, label: &str) -> Option<BranchSection> {
        let section = self.section_of_kind(BranchSection::KIND, label)?;
        BranchSection::parse(section).ok()
    }

    /// Returns the services whose section is valid, ascending by name.
    pub fn services(&self) -> Vec<ServiceSection> {
        self.sections_of_kind(ServiceSection::KIND)
            .filter_map(|section| ServiceSection::parse(section).ok())
            .collect()
    }

    /// Returns the service called `label`, if its section is valid.
    pub fn service(&self, label: &str) -> Option<ServiceSection> {
        let section = self.section_of_kind(ServiceSection::KIND, label)?;
        ServiceSection::parse(section).ok()
    }

    /// Returns the size of all section names and bodies, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.sections
            .iter()
            .map(|section| section.name.len() + section.body.len())
            .sum()
    }

    /// Adds or replaces a section and removes its tombstone.
    pub(super) fn insert_section(&mut self, section: Section) {
        if let Ok(index) = self.tombstone_index(&section.name) {
            self.tombstones.remove(index);
        }
        match self.section_index(&section.name) {
            Ok(index) => self.sections[index] = section,
            Err(index) => self.sections.insert(index, section),
        }
    }

    /// Removes a section and leaves a tombstone with the revision of the deletion.
    pub(super) fn delete_section(&mut self, name: &str, revision: u64) {
        if let Ok(index) = self.section_index(name) {
            self.sections.remove(index);
        }
        let tombstone = Tombstone {
            name: name.to_owned(),
            revision,
        };
        match self.tombstone_index(name) {
            Ok(index) => self.tombstones[index] = tombstone,
            Err(index) => self.tombstones.insert(index, tombstone),
        }
        self.remove_oldest_tombstone();
    }

    fn remove_oldest_tombstone(&mut self) {
        if self.tombstones.len() <= MAX_TOMBSTONES {
            return;
        }
        let oldest = self.tombstones.iter().map(|t| t.revision).min();
        self.tombstones.retain(|t| Some(t.revision) != oldest);
    }

    fn sections_of_kind(&self, kind: &'static str) -> impl Iterator<Item = &Section> {
        self.sections
            .iter()
            .filter(move |section| section.kind() == kind)
    }

    fn section_of_kind(&self, kind: &str, label: &str) -> Option<&Section> {
        self.section(&format!("{kind} {label}"))
    }

    fn section_index(&self, name: &str) -> Result<usize, usize> {
        self.sections
            .binary_search_by(|section| section.name.as_str().cmp(name))
    }

    fn tombstone_index(&self, name: &str) -> Result<usize, usize> {
        self.tombstones
            .binary_search_by(|tombstone| tombstone.name.as_str().cmp(name))
    }
}

/// Writes the document as INI.
impl fmt::Display for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for section in &self.sections {
            writeln!(f, "[{}]", section.name)?;
            writeln!(f, "{}\n", section.body.trim_end())?;
        }
        Ok(())
    }
}
