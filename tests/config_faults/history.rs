use crate::api::ReportedOutcome;
use bergamotfork::document::Edit;
use bergamotfork::document::LogRecord;

/// An edit and the outcome that its editor received.
#[derive(Debug, Clone)]
pub struct ObservedEdit {
    pub edit_id: String,
    pub section: String,
    pub base_revision: u64,
    pub body: String,
    pub reported: ReportedOutcome,
}

/// Checks the outcomes reported to the editors against the records of the log.
///
/// It does not use the fold under test. Per section, the accepted edits must form one chain in
/// which each edit is based on the revision of the one before. Every edit reported as accepted is
/// in the chain once, none reported as a conflict is, and the body in force is that of the last
/// edit of the chain.
pub fn check(observed: &[ObservedEdit], records: &[Vec<u8>], in_force: impl Fn(&str) -> String) {
    let mut sections: Vec<&str> = observed.iter().map(|o| o.section.as_str()).collect();
    sections.sort_unstable();
    sections.dedup();
    for section in sections {
        let chain = accepted_chain(observed, section);
        let ids: Vec<&str> = chain.iter().map(|edit| edit.edit_id.as_str()).collect();
        assert_revisions_in_log(&chain, records);
        let last = chain.last().expect("some edit was accepted");
        assert_eq!(in_force(section), last.body, "lost after {ids:?}");
    }
}

/// The accepted edits of a section, each based on the revision of the one before it.
fn accepted_chain<'a>(observed: &'a [ObservedEdit], section: &str) -> Vec<&'a ObservedEdit> {
    let mut chain: Vec<&ObservedEdit> = observed
        .iter()
        .filter(|edit| edit.section == section)
        .filter(|edit| matches!(edit.reported, ReportedOutcome::Accepted { .. }))
        .collect();
    chain.sort_by_key(|edit| edit.base_revision);
    let mut revision = 0;
    for edit in &chain {
        assert_eq!(edit.base_revision, revision, "not one order: {chain:#?}");
        let ReportedOutcome::Accepted { revision: new } = edit.reported else {
            unreachable!("filtered above");
        };
        assert!(new > revision, "revisions grow: {chain:#?}");
        revision = new;
    }
    chain
}

/// Checks that the revision of each accepted edit follows from its first record in the log.
fn assert_revisions_in_log(chain: &[&ObservedEdit], records: &[Vec<u8>]) {
    for edit in chain {
        let first = records.iter().position(|bytes| {
            matches!(LogRecord::decode(bytes), Ok(LogRecord::Edit(Edit { edit_id, .. }))
                if edit_id == edit.edit_id)
        });
        let first = first.expect("an accepted edit is in the log") as u64;
        let reported = &edit.reported;
        assert_eq!(
            *reported,
            ReportedOutcome::Accepted {
                revision: first + 1
            }
        );
    }
}
