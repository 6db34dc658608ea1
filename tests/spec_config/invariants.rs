use crate::model::Log;
use crate::model::State;
use bergamotfork::document::EditEntry;
use bergamotfork::document::EditOutcome;
use bergamotfork::document::LogRecord;

/// Returns the first invariant that the step from `before` to `after` violates.
pub fn violation(before: &State, after: &State) -> Option<String> {
    head_decreased(before, after)
        .or_else(|| two_accepted_from_one_base(after))
        .or_else(|| different_outcomes(after))
        .or_else(|| differs_from_log(after))
        .or_else(|| admits_behind_majority(before, after))
}

/// The head of an entry never decreases, unless its host is replaced.
fn head_decreased(before: &State, after: &State) -> Option<String> {
    for (index, node) in after.nodes.iter().enumerate() {
        let (old, new) = (before.nodes[index].fold().head(), node.fold().head());
        if new < old && after.replaced != Some(index) {
            return Some(format!("entry {index} went back from {old} to {new}"));
        }
    }
    None
}

/// No two edits with the same base revision are accepted, so that no edit overwrites a
/// revision that its editor did not know.
fn two_accepted_from_one_base(state: &State) -> Option<String> {
    for node in &state.nodes {
        let accepted: Vec<(&EditEntry, u64)> = node
            .fold()
            .history()
            .filter(|entry| entry.outcome.is_accepted())
            .map(|entry| (entry, written_base(&state.log, entry)))
            .collect();
        for (index, (entry, base)) in accepted.iter().enumerate() {
            if accepted[..index].iter().any(|(_, other)| other == base) {
                return Some(format!("two edits accepted from one base: {entry:?}"));
            }
        }
    }
    None
}

/// Base revision in the original record, which the model may replace when a rule is removed.
fn written_base(log: &Log, entry: &EditEntry) -> u64 {
    let offset = usize::try_from(entry.outcome.offset()).expect("a short log");
    match log.records[offset].as_ref() {
        LogRecord::Edit(edit) => edit.base_revision,
        LogRecord::Checkpoint(_) => unreachable!("only edits have an outcome"),
    }
}

/// All entries give the same outcome for an edit, at any time.
fn different_outcomes(state: &State) -> Option<String> {
    let mut outcomes: Vec<(&str, EditOutcome)> = Vec::new();
    for entry in state.nodes.iter().flat_map(|node| node.fold().history()) {
        let id = entry.edit_id.split('#').next().unwrap_or_default();
        let known = outcomes.iter().find(|(other, _)| *other == id);
        if known.is_some_and(|(_, outcome)| *outcome != entry.outcome) {
            return Some(format!("two outcomes of {id}: {known:?}, {entry:?}"));
        }
        outcomes.push((id, entry.outcome));
    }
    None
}

/// The state of every entry equals that of the complete log up to its head.
fn differs_from_log(state: &State) -> Option<String> {
    for (index, node) in state.nodes.iter().enumerate() {
        let head = node.fold().head();
        let reference = &state.reference[usize::try_from(head).expect("a short log")];
        if reference.digest() != node.fold().digest() {
            return Some(format!("entry {index} differs from the log at {head}"));
        }
    }
    None
}

/// An entry that starts to admit work has a head at least as high as any that a majority
/// of the entries has held.
fn admits_behind_majority(before: &State, after: &State) -> Option<String> {
    let majority_head = before.majority_head;
    for (old, new) in before.nodes.iter().zip(&after.nodes) {
        let head = new.fold().head();
        if !old.admits() && new.admits() && head < majority_head {
            return Some(format!(
                "admits work at {head}, behind the majority head {majority_head}"
            ));
        }
    }
    None
}
