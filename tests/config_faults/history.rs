use crate::api::Told;
use bergamotfork::document::Edit;
use bergamotfork::document::LogRecord;

/// One edit as its editor saw it.
#[derive(Debug, Clone)]
pub struct Observed {
    pub edit_id: String,
    pub section: String,
    pub base_revision: u64,
    pub body: String,
    pub told: Told,
}

/// Checks what the editors were told against the records of the log.
///
/// Does not use the fold: per section, accepted edits must form one chain, each
/// from the revision of the one before; each edit that was told accepted stands
/// in the chain once, each that was told a conflict nowhere; and the body in
/// force is that of the end of the chain.
pub fn check(observed: &[Observed], records: &[Vec<u8>], in_force: impl Fn(&str) -> String) {
    let mut sections: Vec<&str> = observed.iter().map(|o| o.section.as_str()).collect();
    sections.sort_unstable();
    sections.dedup();
    for section in sections {
        let chain = accepted_chain(observed, section);
        let ids: Vec<&str> = chain.iter().map(|edit| edit.edit_id.as_str()).collect();
        assert_written(&chain, records);
        let last = chain.last().expect("some edit was accepted");
        assert_eq!(in_force(section), last.body, "lost after {ids:?}");
    }
}

/// The accepted edits of a section, each made from the one before it.
fn accepted_chain<'a>(observed: &'a [Observed], section: &str) -> Vec<&'a Observed> {
    let mut chain: Vec<&Observed> = observed
        .iter()
        .filter(|edit| edit.section == section)
        .filter(|edit| matches!(edit.told, Told::Accepted { .. }))
        .collect();
    chain.sort_by_key(|edit| edit.base_revision);
    let mut revision = 0;
    for edit in &chain {
        assert_eq!(edit.base_revision, revision, "not one order: {chain:#?}");
        let Told::Accepted { revision: new } = edit.told else {
            unreachable!("filtered above");
        };
        assert!(new > revision, "revisions grow: {chain:#?}");
        revision = new;
    }
    chain
}

/// Each accepted edit has its revision from its first record in the log.
fn assert_written(chain: &[&Observed], records: &[Vec<u8>]) {
    for edit in chain {
        let first = records.iter().position(|bytes| {
            matches!(LogRecord::decode(bytes), Ok(LogRecord::Edit(Edit { edit_id, .. }))
                if edit_id == edit.edit_id)
        });
        let first = first.expect("an accepted edit is in the log") as u64;
        let told = &edit.told;
        assert_eq!(
            *told,
            Told::Accepted {
                revision: first + 1
            }
        );
    }
}
