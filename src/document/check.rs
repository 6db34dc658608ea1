use crate::document::BranchSection;
use crate::document::Document;
use crate::document::Edit;
use crate::document::FaultReason;
use crate::document::ModelSection;
use crate::document::Section;
use crate::document::SectionFault;
use crate::document::ServiceSection;

/// Largest number of sections in a document.
pub const MAX_SECTIONS: usize = 500;

/// Largest body of a section, in bytes.
pub const MAX_SECTION_BYTES: usize = 64 * 1024;

/// Largest document, in bytes of all section names and bodies.
pub const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// Largest sum of the shares of all branches, in percent.
const MAX_SHARES_PERCENT: u32 = 100;

/// Checks the structure and the meaning of `edit` applied to `document`.
///
/// # Errors
///
/// Returns every fault found; an edit with a fault must not be appended to the log.
pub fn check_edit(document: &Document, edit: &Edit) -> Result<(), Vec<SectionFault>> {
    let fault = |reason| {
        Err(vec![SectionFault {
            section: edit.section.clone(),
            key: None,
            reason,
        }])
    };
    if let Err(error) = edit.check_structure() {
        return fault(FaultReason::Structure(error.to_string()));
    }
    let Some(body) = &edit.body else {
        if document.section(&edit.section).is_none() {
            return fault(FaultReason::Absent);
        }
        return Ok(());
    };
    if let Some(reason) = exceeded_limit(document, &edit.section, body) {
        return fault(reason);
    }
    let section = Section {
        name: edit.section.clone(),
        team: edit.team.clone(),
        revision: edit.base_revision,
        body: body.clone(),
    };
    check_section(document, &section)
}

/// Lists the parts of `document` that have no effect: invalid sections, and references to
/// sections that do not exist.
pub fn inert_parts(document: &Document) -> Vec<SectionFault> {
    let mut faults = Vec::new();
    for section in document.sections() {
        if let Err(found) = check_section(document, section) {
            faults.extend(found);
        }
    }
    for branch in document.branches() {
        let models = branch
            .models
            .iter()
            .map(|model| ("models", format!("model {model}")));
        let services = branch.services.iter();
        let services = services.map(|service| ("services", format!("service {service}")));
        for (key, referenced) in models.chain(services) {
            faults.extend(dangling_reference(
                document,
                format!("branch {}", branch.name),
                key,
                referenced,
            ));
        }
    }
    for model in document.models() {
        if let Some(base) = &model.base {
            let referenced = format!("model {base}");
            faults.extend(dangling_reference(
                document,
                format!("model {}", model.name),
                "base",
                referenced,
            ));
        }
    }
    faults
}

/// Returns the fault of a reference to a section that does not exist.
fn dangling_reference(
    document: &Document,
    section: String,
    key: &str,
    referenced: String,
) -> Option<SectionFault> {
    if document.section(&referenced).is_some() {
        return None;
    }
    Some(SectionFault {
        section,
        key: Some(key.to_owned()),
        reason: FaultReason::Dangling {
            section: referenced,
        },
    })
}

/// Checks the name, the keys and the values of a section.
fn check_section(document: &Document, section: &Section) -> Result<(), Vec<SectionFault>> {
    let fault = |reason| {
        Err(vec![SectionFault {
            section: section.name.clone(),
            key: None,
            reason,
        }])
    };
    if !is_label(section.label()) {
        return fault(FaultReason::InvalidLabel);
    }
    match section.kind() {
        ModelSection::KIND => ModelSection::parse(section).map(drop),
        BranchSection::KIND => check_branch(document, section),
        ServiceSection::KIND => ServiceSection::parse(section).map(drop),
        _ => fault(FaultReason::UnknownKind),
    }
}

/// Checks a branch section, and that the shares of all branches fit together.
fn check_branch(document: &Document, section: &Section) -> Result<(), Vec<SectionFault>> {
    let branch = BranchSection::parse(section)?;
    let others: u32 = document
        .branches()
        .iter()
        .filter(|other| other.name != branch.name)
        .map(|other| other.share_percent)
        .sum();
    let sum_percent = others + branch.share_percent;
    if sum_percent <= MAX_SHARES_PERCENT {
        return Ok(());
    }
    Err(vec![SectionFault {
        section: section.name.clone(),
        key: Some("share_percent".to_owned()),
        reason: FaultReason::SharesExceed { sum_percent },
    }])
}

/// Returns the size limit that the document would exceed with `body` in section `name`.
fn exceeded_limit(document: &Document, name: &str, body: &str) -> Option<FaultReason> {
    if body.len() > MAX_SECTION_BYTES {
        return Some(FaultReason::SectionTooLarge {
            size_bytes: body.len(),
            max_bytes: MAX_SECTION_BYTES,
        });
    }
    let replaced = document.section(name);
    if replaced.is_none() && document.sections().len() >= MAX_SECTIONS {
        return Some(FaultReason::TooManySections { max: MAX_SECTIONS });
    }
    let replaced_bytes = replaced.map_or(0, |section| section.body.len());
    let size_bytes = document.size_bytes() + body.len() - replaced_bytes;
    (size_bytes > MAX_DOCUMENT_BYTES).then_some(FaultReason::DocumentTooLarge {
        size_bytes,
        max_bytes: MAX_DOCUMENT_BYTES,
    })
}

/// Whether `label` can stand after the kind in a section name.
fn is_label(label: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    !label.is_empty() && label.chars().all(allowed)
}
