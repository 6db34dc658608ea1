//! Who reads the listing of a topic after a restart of all entries.

use crate::fixture::heartbeat;
use bergamotfork::fleet::ListingTurn;
use bergamotfork::fleet::PeerTable;

/// Time of one listing that has the link for itself, in ms.
const LISTING_MS: f64 = 3_000.0;

/// Replays entries that start at once over one link, which carries the listings that are
/// under way in equal parts. An entry that has one passes it on at once.
///
/// Returns when the first listing was complete, in ms, and how many had begun.
fn replay_restart(entries: usize) -> (u64, usize) {
    let turn = ListingTurn::at_start();
    let mut transferred_ms = vec![0.0; entries];
    let mut now_ms = 0;
    while transferred_ms.iter().all(|done_ms| *done_ms < LISTING_MS) {
        now_ms += 1;
        let readers = (0..entries).filter(|rank| turn.has_come(*rank, now_ms));
        let share_ms = 1.0 / readers.clone().count() as f64;
        readers.for_each(|rank| transferred_ms[rank] += share_ms);
    }
    let begun = transferred_ms.iter().filter(|done_ms| **done_ms > 0.0);
    (now_ms, begun.count())
}

/// Guards against all entries reading the same listing over one link at once, so that
/// requests wait behind it and no read ends in time.
#[test]
fn has_come_slow_link_few_readers() {
    let (done_ms, readers) = replay_restart(13);
    assert!(readers <= 4, "{readers} of 13 entries read");
    // Three entries at most share the link for the most part.
    assert!(done_ms <= 3 * LISTING_MS as u64, "{done_ms}");
}

#[test]
fn has_come_ranks_in_order() {
    let turn = ListingTurn::since(1_000);
    let first_turn = |rank| (0..).find(|now_ms| turn.has_come(rank, *now_ms));
    let times: Vec<_> = (0..5).map(first_turn).collect();
    assert_eq!(times[0], Some(1_000));
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
    assert_eq!(first_turn(4), first_turn(500));
}

/// Guards against a reader that can't reach the store keeping the others waiting.
#[test]
fn listing_rank_without_store_last() {
    let names: Vec<String> = (0..5).map(|index| format!("entry-{index}")).collect();
    let ranks = |without_store: &str| {
        let mut ranks: Vec<(String, usize)> = Vec::new();
        for own in &names {
            let mut peers = PeerTable::default();
            for name in names.iter().filter(|name| *name != own) {
                let mut beat = heartbeat(name);
                beat.has_store = name != without_store;
                peers.record_heartbeat(beat, 0);
            }
            let rank = peers.listing_rank(own, own != without_store, "z", 1);
            ranks.push((own.clone(), rank));
        }
        ranks.sort_unstable_by_key(|pair| pair.1);
        ranks
    };
    let all = ranks("none");
    let distinct: Vec<usize> = all.iter().map(|pair| pair.1).collect();
    assert_eq!(distinct, [0, 1, 2, 3, 4]);
    let first = all[0].0.clone();
    let without_first = ranks(&first);
    assert_eq!(without_first[0].0, all[1].0);
    assert_eq!(without_first[4].0, first);
}

#[test]
fn listing_rank_other_domains_ignored() {
    let mut peers = PeerTable::default();
    for index in 0..8 {
        let mut beat = heartbeat(&format!("entry-{index}"));
        beat.failure_domain = "y".to_owned();
        peers.record_heartbeat(beat, 0);
    }
    assert_eq!(peers.listing_rank("own", true, "z", 1), 0);
}
