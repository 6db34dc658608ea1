use crate::support::apply;
use crate::support::delete;
use crate::support::edit;
use bergamotfork::document::Checkpoint;
use bergamotfork::document::CheckpointOutcome;
use bergamotfork::document::EditOutcome;
use bergamotfork::document::Fold;
use bergamotfork::document::LogRecord;
use bergamotfork::document::MAX_EDIT_ENTRIES;
use bergamotfork::document::RecordOutcome;

fn accepted(offset: u64) -> RecordOutcome {
    RecordOutcome::Decided(EditOutcome::Accepted {
        offset,
        revision: offset + 1,
    })
}

fn conflict(offset: u64, revision: u64) -> RecordOutcome {
    RecordOutcome::Decided(EditOutcome::Conflict { offset, revision })
}

#[test]
fn apply_concurrent_edits() {
    let mut fold = Fold::new();
    assert_eq!(apply(&mut fold, edit("a", "s x", 0, "k = 1")), accepted(0));
    assert_eq!(
        apply(&mut fold, edit("b", "s x", 0, "k = 2")),
        conflict(1, 1)
    );
    assert_eq!(apply(&mut fold, edit("c", "s y", 0, "k = 3")), accepted(2));
    assert_eq!(apply(&mut fold, edit("b2", "s x", 1, "k = 2")), accepted(3));
    let section = fold.document().section("s x").expect("it was accepted");
    assert_eq!((section.revision, section.body.as_str()), (4, "k = 2"));
}

#[test]
fn apply_repeated_edit() {
    let mut fold = Fold::new();
    apply(&mut fold, edit("a", "s x", 0, "k = 1"));
    apply(&mut fold, edit("b", "s x", 0, "k = 2"));
    let first = *fold.edit_outcome("a").expect("the outcome is kept");
    let repeated = apply(&mut fold, edit("a", "s x", 0, "k = 1"));
    assert_eq!(repeated, RecordOutcome::Repeated(first));
    let repeated = apply(&mut fold, edit("b", "s x", 0, "k = 2"));
    let outcome = EditOutcome::Conflict {
        offset: 1,
        revision: 1,
    };
    assert_eq!(repeated, RecordOutcome::Repeated(outcome));
    assert_eq!(fold.history().count(), 2);
}

#[test]
fn apply_late_edit_of_deleted_section() {
    let mut fold = Fold::new();
    apply(&mut fold, edit("a", "s x", 0, "k = 1"));
    assert_eq!(apply(&mut fold, delete("b", "s x", 1)), accepted(1));
    assert!(fold.document().section("s x").is_none());
    assert_eq!(
        apply(&mut fold, edit("c", "s x", 0, "k = 1")),
        conflict(2, 2)
    );
    assert_eq!(apply(&mut fold, edit("d", "s x", 2, "k = 1")), accepted(3));
    assert_eq!(
        apply(&mut fold, edit("e", "s x", 1, "k = 1")),
        conflict(4, 4)
    );
}

#[test]
fn apply_out_of_order() {
    let mut fold = Fold::new();
    let record = LogRecord::Edit(edit("a", "s x", 0, "k = 1")).encode();
    assert_eq!(
        fold.apply_record(1, &record),
        RecordOutcome::Gap { wanted: 0 }
    );
    fold.apply_record(0, &record);
    assert_eq!(fold.apply_record(0, &record), RecordOutcome::AlreadyApplied);
    assert_eq!(fold.head(), 1);
}

#[test]
fn apply_undecodable_record() {
    let mut fold = Fold::new();
    assert!(matches!(
        fold.apply_record(0, b"\xffnoise"),
        RecordOutcome::Skipped(_)
    ));
    assert_eq!(fold.head(), 1);
    assert_eq!(apply(&mut fold, edit("a", "s x", 0, "k = 1")), accepted(1));
}

#[test]
fn apply_matching_checkpoint() {
    let mut fold = Fold::new();
    apply(&mut fold, edit("a", "s x", 0, "k = 1"));
    let checkpoint = LogRecord::Checkpoint(fold.checkpoint()).encode();
    apply(&mut fold, edit("b", "s y", 0, "k = 1"));
    let applied = fold.apply_record(2, &checkpoint);
    assert_eq!(applied, RecordOutcome::CheckpointMatches { as_of: 1 });
}

#[test]
fn apply_differing_checkpoint() {
    let mut other = Fold::new();
    apply(&mut other, edit("z", "s z", 0, "k = 9"));
    let mut fold = Fold::new();
    apply(&mut fold, edit("a", "s x", 0, "k = 1"));
    let applied = fold.apply_record(1, &LogRecord::Checkpoint(other.checkpoint()).encode());
    assert_eq!(applied, RecordOutcome::CheckpointDiffers { as_of: 1 });
    assert!(fold.document().section("s z").is_none());
    assert_eq!(
        fold.apply_checkpoint(&other.checkpoint()),
        CheckpointOutcome::Differs
    );
}

#[test]
fn apply_checkpoint_only_forward() {
    let mut ahead = Fold::new();
    apply(&mut ahead, edit("a", "s x", 0, "k = 1"));
    let early = ahead.checkpoint();
    apply(&mut ahead, edit("b", "s x", 1, "k = 2"));
    let mut fresh = Fold::new();
    assert_eq!(
        fresh.apply_checkpoint(&ahead.checkpoint()),
        CheckpointOutcome::Advanced
    );
    assert_eq!(fresh.digest(), ahead.digest());
    assert_eq!(fresh.edit_outcome("a"), ahead.edit_outcome("a"));
    assert_eq!(fresh.apply_checkpoint(&early), CheckpointOutcome::NotNewer);
    assert_eq!(fresh.head(), 2);
    let mut altered = early;
    altered.as_of = 9;
    assert_eq!(fresh.apply_checkpoint(&altered), CheckpointOutcome::Corrupt);
}

#[test]
fn apply_removes_oldest_edit() {
    let mut fold = Fold::new();
    let mut checkpoint = fold.checkpoint();
    apply(&mut fold, edit("id-0", "s x", 0, "k = 1"));
    let template = fold.checkpoint().edits[0].clone();
    checkpoint.edits = (0..MAX_EDIT_ENTRIES)
        .map(|index| {
            let mut entry = template.clone();
            entry.edit_id = format!("id-{index}");
            entry.outcome = EditOutcome::Conflict {
                offset: index as u64,
                revision: 1,
            };
            entry
        })
        .collect();
    let as_of = MAX_EDIT_ENTRIES as u64;
    let full = Checkpoint::new(as_of, fold.document(), &checkpoint.edits);
    assert_eq!(fold.apply_checkpoint(&full), CheckpointOutcome::Advanced);
    apply(&mut fold, edit("last", "s x", 1, "k = 2"));
    assert!(fold.edit_outcome("id-0").is_none());
    assert!(fold.edit_outcome("id-1").is_some());
    // The base revision makes a repeated edit conflict whose id is no longer kept.
    let late = apply(&mut fold, edit("id-0", "s x", 0, "k = 1"));
    assert!(matches!(
        late,
        RecordOutcome::Decided(EditOutcome::Conflict { .. })
    ));
}
