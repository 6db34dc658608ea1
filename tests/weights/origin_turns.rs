use std::collections::BTreeMap;

use bergamotfork::weights::DeclaredVersion;
use bergamotfork::weights::OriginTurns;

/// Copies of weights and the entries that read them.
#[derive(Debug)]
struct Load {
    copy_ms: i64,
    pieces: i64,
    apply_ms: i64,
    readers: i64,
}

const LARGE: Load = Load {
    copy_ms: COPY_MS,
    pieces: 64,
    apply_ms: APPLY_MS,
    readers: 63,
};

/// A narrower origin, and fewer entries, each of which reads several pieces.
const NARROW: Load = Load {
    copy_ms: 4_300,
    pieces: 96,
    apply_ms: 13_400,
    readers: 33,
};

const COPY_MS: i64 = 2_800;
const APPLY_MS: i64 = 10_300;

/// Interval at which readers find out whether the earlier version is complete, in ms.
const POLL_MS: i64 = 250;

/// Duration of a failed read, in ms: the origin refuses it.
const REFUSAL_MS: i64 = 5;

/// A piece of one version and the state of its reads.
#[derive(Debug)]
struct Piece {
    version: u64,
    index: i64,
    offset_ms: i64,
    known_ms: i64,
    read_ms: Option<i64>,
    failures: u32,
    // Time for which the link has carried it, in ms.
    carried_ms: f64,
    done_ms: Option<i64>,
}

/// Outcome of a replay.
#[derive(Debug)]
struct Replay {
    complete_ms: Vec<Option<i64>>,
    copies: f64,
    // Largest number of reads that share the link after the outage.
    max_reads: usize,
}

/// Replays the reads of the pieces of these versions, each by its own reader, through a link
/// that the reads in progress share; the origin is unavailable in `outage_ms`.
fn replay(load: &Load, declared: &[DeclaredVersion], outage_ms: std::ops::Range<i64>) -> Replay {
    let piece_ms = load.copy_ms as f64 / load.pieces as f64;
    let mut pieces: Vec<Piece> = declared
        .iter()
        .flat_map(|version| {
            (0..load.pieces).map(|index| Piece {
                version: version.version,
                index,
                offset_ms: index * load.copy_ms / load.pieces,
                known_ms: version.declared_ms + 100 + index % 150,
                read_ms: None,
                failures: 0,
                carried_ms: 0.0,
                done_ms: None,
            })
        })
        .collect();
    let mut carried_ms = 0.0;
    let mut max_reads = 0;
    let mut declared = declared.to_vec();
    for now_ms in 0..40_000 {
        if now_ms % POLL_MS == 0 {
            for version in &mut declared {
                let mut of_version = pieces.iter().filter(|p| p.version == version.version);
                if version.complete_ms.is_none() && of_version.all(|p| p.done_ms.is_some()) {
                    version.complete_ms = Some(now_ms);
                }
            }
        }
        let known: Vec<DeclaredVersion> = declared
            .iter()
            .filter(|version| version.declared_ms <= now_ms)
            .copied()
            .collect();
        let turns = OriginTurns {
            declared: &known,
            copy_ms: load.copy_ms,
            apply_ms: load.apply_ms,
        };
        let is_away = outage_ms.contains(&now_ms);
        // Offset of the first piece that the reader of each piece lacks.
        let reader_of = |piece: &Piece| (piece.version, piece.index * 7 % load.readers);
        let mut first_missing_ms = BTreeMap::new();
        for piece in pieces.iter().filter(|piece| piece.done_ms.is_none()) {
            first_missing_ms
                .entry(reader_of(piece))
                .or_insert(piece.offset_ms);
        }
        for piece in pieces.iter_mut().filter(|piece| piece.done_ms.is_none()) {
            let Some(span) = turns.span(piece.version, now_ms) else {
                if piece.carried_ms == 0.0 {
                    piece.read_ms = None;
                }
                continue;
            };
            // Until its first read, its turn may change.
            if now_ms >= piece.known_ms
                && piece.failures == 0
                && piece.read_ms.is_none_or(|read_ms| read_ms > now_ms)
            {
                piece.read_ms = Some(span.first_read_ms(piece.offset_ms, now_ms).max(now_ms));
            }
            if is_away && piece.read_ms.is_some_and(|read_ms| read_ms <= now_ms) {
                piece.failures += 1;
                piece.carried_ms = 0.0;
                let failed_ms = now_ms + REFUSAL_MS;
                let first_ms = first_missing_ms[&reader_of(piece)];
                let next_ms =
                    span.next_read_ms(piece.offset_ms, first_ms, piece.failures, failed_ms);
                piece.read_ms = Some(next_ms);
            }
        }
        let is_read = |piece: &&mut Piece| {
            piece.done_ms.is_none() && piece.read_ms.is_some_and(|read_ms| read_ms <= now_ms)
        };
        let readers = pieces.iter_mut().filter(is_read).count();
        if now_ms >= outage_ms.end {
            max_reads = max_reads.max(readers);
        }
        for piece in pieces.iter_mut().filter(is_read) {
            piece.carried_ms += 1.0 / readers as f64;
            carried_ms += 1.0 / readers as f64;
            if piece.carried_ms >= piece_ms {
                piece.done_ms = Some(now_ms);
            }
        }
    }
    let complete_ms = |version: &DeclaredVersion| {
        let of_version = pieces
            .iter()
            .filter(|piece| piece.version == version.version);
        let done_ms: Option<Vec<i64>> = of_version.map(|piece| piece.done_ms).collect();
        done_ms.and_then(|done_ms| done_ms.into_iter().max())
    };
    Replay {
        complete_ms: declared.iter().map(complete_ms).collect(),
        copies: carried_ms / load.copy_ms as f64,
        max_reads,
    }
}

fn declared(times_ms: &[i64]) -> Vec<DeclaredVersion> {
    (2..)
        .zip(times_ms)
        .map(|(version, declared_ms)| DeclaredVersion {
            version,
            declared_ms: *declared_ms,
            complete_ms: None,
        })
        .collect()
}

/// Guards against two copies that share the link, so that an origin that fails half a second
/// after the second declaration has given neither: the rest of version 2 has to be read as
/// soon as the origin is back, and version 3 before its own deadline.
#[test]
fn span_origin_unavailable_after_second_declaration() {
    let replay = replay(&LARGE, &declared(&[18_000, 20_000]), 20_500..26_500);
    let complete_ms: Vec<i64> = replay.complete_ms.iter().flatten().copied().collect();
    assert!(complete_ms[0] <= 27_500, "{replay:?}");
    assert!(complete_ms[1] <= 20_000 + APPLY_MS, "{replay:?}");
    assert!(replay.copies <= 2.2, "{replay:?}");
}

/// Guards against a burst of all missing pieces when the origin is back: they arrive at the
/// same late moment, and hosts fetch them after that. Two in three of them may share the link.
#[test]
fn span_missing_pieces_one_after_the_other() {
    let replay = replay(&NARROW, &declared(&[0]), 2_500..8_500);
    let missing_ms = NARROW.copy_ms - 2_400;
    let complete_ms = replay.complete_ms[0].unwrap();
    assert!(complete_ms <= 8_500 + missing_ms + 500, "{replay:?}");
    let missing = missing_ms * NARROW.pieces / NARROW.copy_ms;
    assert!(replay.max_reads as i64 <= missing * 2 / 3, "{replay:?}");
    assert!(replay.copies <= 1.1, "{replay:?}");
}

/// Guards against a second version that waits for one that is given up: less than half of
/// it is read when the second one is declared.
#[test]
fn span_skipped_version_given_up() {
    let replay = replay(&LARGE, &declared(&[18_000, 18_900]), 0..0);
    assert_eq!(replay.complete_ms[0], None);
    assert!(
        replay.complete_ms[1].unwrap() <= 18_900 + COPY_MS + 500,
        "{replay:?}"
    );
}

/// Guards against a version that is dropped for one that can't be loaded before the first is
/// due.
#[test]
fn span_late_second_version_keeps_first() {
    let declared = [(2, 0), (3, 1_000)].map(|(version, declared_ms)| DeclaredVersion {
        version,
        declared_ms,
        complete_ms: None,
    });
    let turns = OriginTurns {
        declared: &declared,
        copy_ms: COPY_MS,
        apply_ms: 4_000,
    };
    assert!(turns.span(2, 1_100).is_some());
    assert!(turns.span(3, 1_100).unwrap().begin_ms >= COPY_MS);
    // Past its deadline it is no use any more.
    assert_eq!(turns.span(2, 4_000), None);
}

/// Guards against a pause of a whole copy after the failure of a single read, and for the
/// version that is read first.
#[test]
fn next_read_ms_short_pause() {
    let declared = declared(&[18_000, 20_000]);
    let turns = OriginTurns {
        declared: &declared,
        copy_ms: COPY_MS,
        apply_ms: APPLY_MS,
    };
    let (first, second) = (turns.span(2, 20_100), turns.span(3, 20_100));
    for failures in 1..5 {
        let read_ms = first.unwrap().next_read_ms(2_700, 2_600, failures, 21_000);
        assert_eq!(read_ms, 21_200);
    }
    let second = second.unwrap();
    assert_eq!(second.begin_ms, 20_000 + APPLY_MS - COPY_MS - 800);
    assert_eq!(second.next_read_ms(100, 0, 1, 27_000), 27_200);
    let next_read_ms = second.next_read_ms(100, 0, 2, 27_000);
    assert_eq!(next_read_ms, second.begin_ms + 100 + COPY_MS);
    // From the deadline of the first on, the second one is the most urgent.
    assert_eq!(second.next_read_ms(2_700, 2_600, 2, 28_300), 28_500);
}
