use arbtest::arbtest;

use crate::fixture::load;
use crate::fixture::record;
use crate::fixture::table;
use bergamotfork::fleet::CandidateInput;
use bergamotfork::fleet::ColdShare;
use bergamotfork::fleet::ColdTimes;
use bergamotfork::fleet::DomainRules;
use bergamotfork::fleet::EngineLoad;
use bergamotfork::fleet::Evacuations;
use bergamotfork::fleet::Exclusion;
use bergamotfork::fleet::Replica;
use bergamotfork::fleet::ReplicaTable;
use bergamotfork::fleet::Residency;
use bergamotfork::fleet::RouteKind;
use bergamotfork::fleet::candidates;
use bergamotfork::fleet::cold_owners;

/// Time at which the replicas of the model come into use, and the length of a run.
const RETURN_MS: u64 = 2_000;
const RUN_MS: u64 = 3_000;

fn share() -> ColdShare {
    ColdShare::new(18.0, 1.5, 5.0).unwrap()
}

fn names(range: std::ops::Range<usize>) -> Vec<String> {
    range.map(|number| format!("entry-{number}")).collect()
}

/// Most sends within any second that includes both of its ends.
fn most_per_second(mut sent_ms: Vec<u64>) -> usize {
    sent_ms.sort_unstable();
    let within = |(at, from): (usize, &u64)| {
        sent_ms[at..].partition_point(|sent_ms| *sent_ms <= from + 1_000)
    };
    sent_ms.iter().enumerate().map(within).max().unwrap_or(0)
}

/// Times of the sends to one replica to which each entry sends whenever it may. An entry has a
/// name, and the first view of the owners until a time, then the second.
fn sends_of_all(
    replica: &str,
    entries: &[(String, u64, [&[String]; 2])],
    step_ms: u64,
) -> Vec<u64> {
    let mut sent_ms = Vec::new();
    for (at, (name, change_ms, views)) in entries.iter().enumerate() {
        let mut times = ColdTimes::new(0, RETURN_MS);
        let mut now_ms = RETURN_MS + at as u64 % step_ms;
        while now_ms < RETURN_MS + RUN_MS {
            let owners = views[usize::from(now_ms >= *change_ms)];
            if share().may_send(name, owners, replica, &times, now_ms) {
                times.record_send(now_ms);
                sent_ms.push(now_ms);
            }
            now_ms += step_ms;
        }
    }
    sent_ms
}

/// Entries join or are gone, each entry learns of it at another time, and one knows no other
/// entry: were each to take a share of its own, the replica would be overrun.
#[test]
fn cold_share_may_send_two_views_and_lone_entry() {
    arbtest(|u| {
        let all = names(0..*u.choose(&[33, 63, 2, 7, 9])?);
        let cut = u.int_in_range(1..=all.len())?;
        let part = all[..cut].to_vec();
        let views: [&[String]; 2] = if u.arbitrary()? {
            [&all, &part]
        } else {
            [&part, &all]
        };
        // Three more entries run: one knows only itself, one is not registered, one knows none.
        let lone = ["lone".to_owned()];
        let mut entries = vec![
            ("lone".to_owned(), 0, [&lone[..], &lone[..]]),
            ("unregistered".to_owned(), 0, [&all[..], &all[..]]),
            ("listless".to_owned(), 0, [&[][..], &[][..]]),
        ];
        for name in &all {
            let change_ms = u.int_in_range(RETURN_MS..=RETURN_MS + RUN_MS)?;
            entries.push((name.clone(), change_ms, views));
        }
        let sent_ms = sends_of_all(&format!("r{cut}"), &entries, 25);
        let most = most_per_second(sent_ms);
        assert!(most <= 32, "{most} with {} and {cut} entries", all.len());
        Ok(())
    })
    .budget_ms(1_500);
}

/// The owners must not all send as soon as the replica is back, and the share must be used.
#[test]
fn cold_share_may_send_paced_over_second() {
    for count in [2, 3, 8, 33, 63] {
        let all = names(0..count);
        let entries: Vec<_> = (all.iter())
            .map(|name| (name.clone(), 0, [&all[..], &all[..]]))
            .collect();
        let sent_ms = sends_of_all("r", &entries, 5);
        let in_100_ms = |from: u64| {
            let within = |at: &&u64| (from..from + 100).contains(*at);
            sent_ms.iter().filter(within).count()
        };
        let burst = (RETURN_MS..RETURN_MS + RUN_MS)
            .map(in_100_ms)
            .max()
            .unwrap();
        assert!(burst <= 5, "{burst} in 100 ms of {count} entries");
        let per_second = sent_ms.len() as f64 * 1_000.0 / RUN_MS as f64;
        assert!(per_second >= 9.0, "{per_second}/s of {count} entries");
    }
}

/// A failure domain of 17 replicas comes back while each of 33 entries has 19 requests per
/// second that fit nowhere else. Each replica gets at least half of what it bears.
#[test]
fn cold_share_may_send_returning_domain() {
    let all = names(0..33);
    let replicas: Vec<String> = (0..17).map(|number| format!("replica-{number}")).collect();
    let mut sent_ms = [const { Vec::new() }; 17];
    let mut seed = 1u64;
    for name in &all {
        let mut times = vec![ColdTimes::new(0, RETURN_MS); replicas.len()];
        for now_ms in RETURN_MS..RETURN_MS + RUN_MS {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            if (seed >> 33) % 1_000 >= 19 {
                continue;
            }
            let first = (seed >> 45) as usize;
            let in_turn = (0..replicas.len()).map(|step| (first + step) % replicas.len());
            let chosen = in_turn
                .into_iter()
                .find(|at| share().may_send(name, &all, &replicas[*at], &times[*at], now_ms));
            if let Some(at) = chosen {
                times[at].record_send(now_ms);
                sent_ms[at].push(now_ms);
            }
        }
    }
    for sent_ms in sent_ms {
        assert!(
            sent_ms.len() as u64 * 1_000 >= 9 * RUN_MS,
            "{}",
            sent_ms.len()
        );
        assert!(most_per_second(sent_ms) <= 32);
    }
}

/// Links between regions are cut, or a region is gone: the parts must not each take the whole
/// share, and the rest takes over the shares of entries that are silent for long.
#[test]
fn cold_owners_split_network() {
    for count in [33, 63] {
        let all = names(0..count);
        let region = |name: &str| name[6..].parse::<usize>().unwrap() % 3;
        // For each case, whether a region hears another one.
        let cases: [fn(usize, usize) -> bool; 4] = [
            |_, _| false,
            |from, to| from + to != 1,
            |from, to| from != 2 && to != 2,
            |from, to| from == 2 || to == 2,
        ];
        for (case, hears) in cases.into_iter().enumerate() {
            let views: Vec<Vec<String>> = all
                .iter()
                .map(|own| {
                    cold_owners(own, &all, |name| {
                        let (from, to) = (region(name), region(own));
                        if from == to || hears(from, to) {
                            200
                        } else {
                            9_000
                        }
                    })
                })
                .collect();
            let entries: Vec<_> = (all.iter().zip(&views))
                .enumerate()
                // The view of a cut network is learnt at another time by each entry.
                .map(|(at, (name, view))| {
                    let change_ms = RETURN_MS + 37 * at as u64;
                    (name.clone(), change_ms, [&all[..], &view[..]])
                })
                .collect();
            for replica in ["a", "b", "c"] {
                let most = most_per_second(sends_of_all(replica, &entries, 25));
                assert!(most <= 32, "{most} in case {case} with {count} entries");
            }
        }
        let is_gone = |name: &str| region(name) == 0;
        let rest = cold_owners(
            "entry-1",
            &all,
            |name| if is_gone(name) { 9_000 } else { 0 },
        );
        assert_eq!(rest.len(), count / 3 * 2);
        assert!(!rest.iter().any(|name| is_gone(name)));
    }
}

/// An earlier run of the process may have sent within the last second, and the others don't
/// count an entry yet that has just started.
#[test]
fn cold_share_may_send_just_started() {
    let all = names(0..1);
    let times = ColdTimes::new(3_000, 0);
    assert!(!share().may_send("entry-0", &all, "r", &times, 1_400));
    assert!(share().may_send("entry-0", &all, "r", &times, 1_500));
}

#[test]
fn cold_share_new_without_limit() {
    assert!(ColdShare::new(0.0, 1.5, 5.0).is_none());
    assert_eq!(share().per_second(), 32);
    // The settings may state any number.
    let all = names(0..33);
    let times = ColdTimes::new(0, 0);
    for bound in [f64::MAX, -1.0, 0.0] {
        let share = ColdShare::new(1.0, bound, bound).unwrap();
        let may_send = |name: &String| share.may_send(name, &all, "r", &times, 9_000);
        assert_eq!(all.iter().any(may_send), bound > 0.0, "{bound}");
    }
}

#[test]
fn cold_times_is_cold_after_return_and_as_stated() {
    let mut times = ColdTimes::new(0, 100);
    assert!(times.is_cold(3_000, 3_099));
    assert!(!times.is_cold(3_000, 3_100));
    times.record_remaining(500, 10_000);
    assert!(times.is_cold(3_000, 10_499));
    assert!(!times.is_cold(3_000, 10_500));
    assert_eq!(times.since_ms(), 10_000);
    let mut used = ColdTimes::new(0, 100);
    used.record_earlier_use();
    assert!(!used.is_cold(3_000, 100));
    // A replica may state any time.
    assert!(ColdTimes::new(u64::MAX, 100).is_cold(0, u64::MAX - 1));
}

/// A replica comes back in each of the ways of which an entry learns, and must count as cold.
#[test]
fn replica_table_cold_after_return() {
    let is_cold = |table: &ReplicaTable, key, now_ms| table.get(key).cold.is_cold(3_000, now_ms);
    let (mut table, keys) = table(0, &[0, 0]);
    let key = keys[0];
    assert!(!is_cold(&table, key, 5_000));
    table.register(record("r1", 1), 5_000);
    assert!(!is_cold(&table, key, 5_000));

    let send_id = table.record_send(key, 1.0, 5_100);
    table.record_end(key, send_id, 5_200);
    table.remove("r1");
    // Another replica must not take its place while its sends still count.
    table.register(record("r3", 3), 5_300);
    table.register(record("r1", 1), 5_400);
    assert!(is_cold(&table, key, 8_399));
    assert_eq!(table.get(key).cold.last_sent_ms(), Some(5_100));

    table.record_return("a", 20_000);
    assert!(is_cold(&table, key, 22_999));

    let mut next = record("r1", 1);
    next.born_unix_ms = Some(2);
    table.register(next, 30_000);
    assert!(is_cold(&table, key, 32_999));

    let ip = "10.0.0.1".parse().unwrap();
    let down = EngineLoad {
        is_up: false,
        ..load(40_000, 0, 0)
    };
    table.record_load(ip, 80, down);
    table.record_load(ip, 80, load(40_200, 0, 0));
    assert!(is_cold(&table, key, 43_199));
}

/// The other replicas take the requests that a cold one may not get, and a replica that is left
/// out for another reason is not counted as held back.
#[test]
fn candidates_cold_share() {
    let (table, keys) = table(0, &[0, 0, 0]);
    let is_within = |replica: &Replica| replica.record.id == "r3";
    let input = CandidateInput {
        now_ms: 10,
        service: "chat",
        kind: RouteKind::Idempotent,
        domains: DomainRules {
            residency: &Residency::default(),
            evacuations: &Evacuations::default(),
            regions: &[],
        },
        tried_replicas: &keys[..1],
        model: Some("m"),
        begin_within_ms: &|_, _| None,
        is_within_cold_share: &is_within,
    };
    let reasons: Vec<_> = (keys.iter())
        .map(|key| input.exclusion(*key, table.get(*key)))
        .collect();
    let expected = [
        Some(Exclusion::AlreadyTried),
        Some(Exclusion::ColdShare),
        None,
    ];
    assert_eq!(reasons, expected);
    assert_eq!(candidates(&table, &input).len(), 1);
}
