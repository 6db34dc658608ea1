use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

use bergamotfork::document::Edit;
use bergamotfork::document::EditOutcome;
use bergamotfork::document::Fold;
use bergamotfork::document::LogRecord;
use bergamotfork::document::RecordOutcome;

/// Generates one record: an edit, a checkpoint of some prefix, or random bytes.
fn record(u: &mut Unstructured<'_>, prefixes: &[Fold]) -> arbitrary::Result<Vec<u8>> {
    let kind = u.int_in_range(0..=9)?;
    if kind == 0 {
        return Ok(u.bytes(3)?.to_vec());
    }
    let head = prefixes.last().expect("starts with the empty prefix");
    if kind == 1 {
        let prefix = u.choose(prefixes)?;
        return Ok(LogRecord::Checkpoint(prefix.checkpoint()).encode());
    }
    let section = *u.choose(&["model a", "model b", "branch a"])?;
    let current = head.document().revision(section);
    let edit = Edit {
        edit_id: format!("id-{}", u.int_in_range(0..=15)?),
        team: "ops".to_owned(),
        section: section.to_owned(),
        base_revision: *u.choose(&[current, current, 0, 1])?,
        body: if u.ratio(1, 4)? {
            None
        } else {
            Some(format!("v = {}", u.int_in_range(0..=9)?))
        },
    };
    Ok(LogRecord::Edit(edit).encode())
}

/// Generates a log, and the fold of each of its prefixes.
fn log(u: &mut Unstructured<'_>) -> arbitrary::Result<(Vec<Vec<u8>>, Vec<Fold>)> {
    let mut records = Vec::new();
    let mut prefixes = vec![Fold::new()];
    for _ in 0..u.int_in_range(0..=24)? {
        let bytes = record(u, &prefixes)?;
        let mut next = prefixes[records.len()].clone();
        next.apply_record(records.len() as u64, &bytes);
        records.push(bytes);
        prefixes.push(next);
    }
    Ok((records, prefixes))
}

#[test]
fn fold_from_any_checkpoint() {
    arbtest(|u| {
        let (records, prefixes) = log(u)?;
        let last = &prefixes[records.len()];
        let start = u.int_in_range(0..=records.len())?;
        let mut fold = Fold::new();
        fold.apply_checkpoint(&prefixes[start].checkpoint());
        for (offset, bytes) in records.iter().enumerate().skip(start) {
            fold.apply_record(offset as u64, bytes);
        }
        assert_eq!(fold.digest(), last.digest());
        assert_eq!(fold.document(), last.document());
        assert!(fold.history().eq(last.history()));
        Ok(())
    });
}

#[test]
fn fold_head_never_decreases() {
    arbtest(|u| {
        let (records, prefixes) = log(u)?;
        let mut fold = Fold::new();
        while !u.is_empty() {
            let before = fold.head();
            let offset = u.int_in_range(0..=records.len())?;
            if u.arbitrary()? {
                fold.apply_checkpoint(&prefixes[offset].checkpoint());
            } else if let Some(bytes) = records.get(offset) {
                fold.apply_record(offset as u64, bytes);
            }
            assert!(fold.head() >= before);
            let reference = &prefixes[usize::try_from(fold.head()).expect("a short log")];
            assert_eq!(fold.digest(), reference.digest());
        }
        Ok(())
    });
}

#[test]
fn fold_accepted_edits_form_chain() {
    arbtest(|u| {
        let (records, _) = log(u)?;
        let mut fold = Fold::new();
        let mut chain: Vec<(String, u64)> = Vec::new();
        for (offset, bytes) in records.iter().enumerate() {
            let applied = fold.apply_record(offset as u64, bytes);
            let RecordOutcome::Decided(EditOutcome::Accepted { revision, .. }) = applied else {
                continue;
            };
            let Ok(LogRecord::Edit(edit)) = LogRecord::decode(bytes) else {
                panic!("only an edit is decided");
            };
            let previous = chain.iter().rev().find(|(name, _)| *name == edit.section);
            assert_eq!(
                previous.map_or(0, |(_, revision)| *revision),
                edit.base_revision
            );
            chain.push((edit.section, revision));
        }
        Ok(())
    });
}

#[test]
fn decode_any_bytes() {
    arbtest(|u| {
        let len = u.len();
        let bytes = u.bytes(len)?;
        let mut versioned = vec![1];
        versioned.extend_from_slice(bytes);
        drop(LogRecord::decode(&versioned));
        Ok(())
    });
}
