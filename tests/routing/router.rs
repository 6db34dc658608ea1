use std::net::Ipv4Addr;
use std::net::SocketAddr;

use arbtest::arbtest;

use bergamotfork::calls::Ask;
use bergamotfork::calls::Candidate;
use bergamotfork::calls::Ending;
use bergamotfork::calls::Router;
use bergamotfork::calls::stable_hash;
use bergamotfork::clients::HostList;
use bergamotfork::hosts::HostKey;
use bergamotfork::hosts::HostRecord;
use bergamotfork::hosts::HostRole;
use bergamotfork::hosts::HostState;
use bergamotfork::hosts::Load;
use bergamotfork::hosts::Roster;

const SLOTS: u32 = 16;

fn candidates(count: u32) -> Vec<Candidate> {
    let record = |i: u32| HostRecord {
        name: format!("host-{i:04}"),
        address: SocketAddr::new(Ipv4Addr::from(0x7f00_0001 + i).into(), 7000),
        role: HostRole::Endpoint,
        region: "or-north".to_owned(),
        domain: "a".to_owned(),
        service: None,
        state: HostState::Live,
    };
    let hosts = (0..count).map(record).collect();
    let mut roster = Roster::new();
    roster.merge_list(&HostList { version: 1, hosts }, 0);
    let hosts = roster.hosts();
    hosts
        .map(|(key, host)| Candidate {
            key,
            name_hash: stable_hash(host.name.as_bytes()),
            load: Load {
                running: 0,
                queued: 0,
                slots: SLOTS,
            },
            heard_ms: 0,
        })
        .collect()
}

fn ask(candidates: &[Candidate]) -> Ask<'_> {
    Ask {
        candidates,
        prefix: None,
        tried: &[],
    }
}

#[test]
fn pick_takes_lesser_loaded_of_two() {
    let mut candidates = candidates(2);
    candidates[0].load.running = 9;
    let mut router = Router::new(1);
    for _ in 0..50 {
        assert_eq!(router.pick(&ask(&candidates), 0), Some(candidates[1].key));
    }
}

#[test]
fn pick_never_repeats_a_tried_endpoint() {
    arbtest(|u| {
        let candidates = candidates(u.int_in_range(1..=60)?);
        let mut router = Router::new(u.arbitrary()?);
        let mut tried: Vec<HostKey> = Vec::new();
        loop {
            let ask = Ask {
                candidates: &candidates,
                prefix: u.arbitrary()?,
                tried: &tried,
            };
            let Some(key) = router.pick(&ask, 0) else {
                break;
            };
            assert!(!tried.contains(&key));
            tried.push(key);
        }
        assert_eq!(tried.len(), candidates.len().min(48));
        Ok(())
    });
}

/// A burst between two load reports spreads by what the entry itself has sent.
#[test]
fn pick_burst_spreads_despite_old_reports() {
    for age_ms in [0, 2000, 60_000] {
        let candidates = candidates(10);
        let mut router = Router::new(3);
        for _ in 0..100 {
            let key = router.pick(&ask(&candidates), age_ms).expect("all usable");
            router.started(key, age_ms);
        }
        let most = candidates.iter().map(|it| router.in_flight(it.key)).max();
        assert!(most <= Some(13), "{most:?} of 100 on one of 10");
    }
}

#[test]
fn pick_prefix_stays_within_bounded_load() {
    let candidates = candidates(8);
    let mut router = Router::new(5);
    let mut sent = vec![0u32; candidates.len()];
    let mut running = Vec::new();
    for i in 0..2000u64 {
        let now_ms = i * 5;
        // One prefix of eight takes half of the requests.
        let prefix = if i % 2 == 0 { 0 } else { i / 2 % 8 };
        let ask = Ask {
            candidates: &candidates,
            prefix: Some(prefix),
            tried: &[],
        };
        let key = router.pick(&ask, now_ms).expect("all usable");
        router.started(key, now_ms);
        running.push((key, now_ms));
        if running.len() > 40 {
            let (done, started_ms) = running.remove(0);
            router.ended(done, started_ms, Ending::Whole, now_ms);
        }
        let at = candidates.iter().position(|it| it.key == key);
        sent[at.expect("a candidate was picked")] += 1;
    }
    assert!(
        sent.iter().all(|&it| it <= 2000 / 8 * 125 / 100),
        "{sent:?}"
    );
}

#[test]
fn pick_prefix_keeps_its_home() {
    let candidates = candidates(8);
    let (mut a, mut b) = (Router::new(1), Router::new(2));
    for prefix in 0..32 {
        let ask = Ask {
            candidates: &candidates,
            prefix: Some(prefix),
            tried: &[],
        };
        let home = a.pick(&ask, 0);
        assert_eq!(a.pick(&ask, 10), home);
        assert_eq!(b.pick(&ask, 0), home);
    }
}

#[test]
fn pick_avoids_slow_endpoint_but_probes_it() {
    let candidates = candidates(10);
    let mut router = Router::new(7);
    for (at, candidate) in candidates.iter().enumerate() {
        let interval_us = if at == 4 { 100_000 } else { 10_000 };
        router.observed(candidate.key, interval_us);
    }
    let slow = candidates[4].key;
    let mut to_slow = 0;
    for i in 0..3000 {
        let key = router.pick(&ask(&candidates), i).expect("nine are usable");
        router.started(key, i);
        router.ended(key, i, Ending::Whole, i);
        to_slow += u32::from(key == slow);
    }
    assert!((1..=4).contains(&to_slow), "{to_slow} probes in 3 s");
}

#[test]
fn pick_avoids_failed_endpoint_for_longer_each_time() {
    let candidates = candidates(10);
    let mut router = Router::new(7);
    let failing = candidates[0].key;
    let mut failures = 0;
    for now_ms in 0..8000 {
        let key = router
            .pick(&ask(&candidates), now_ms)
            .expect("nine are usable");
        router.started(key, now_ms);
        let ending = if key == failing {
            Ending::Failed
        } else {
            Ending::Whole
        };
        router.ended(key, now_ms, ending, now_ms);
        failures += u32::from(key == failing);
    }
    // The pauses are 0.5, 1, 2, 4 and 8 s.
    assert!((2..=5).contains(&failures), "{failures}");
}

#[test]
fn pick_uses_all_when_most_look_bad() {
    let candidates = candidates(4);
    let mut router = Router::new(7);
    for candidate in &candidates[..3] {
        router.started(candidate.key, 0);
        router.ended(candidate.key, 0, Ending::Failed, 0);
    }
    let mut seen: Vec<HostKey> = (0..200)
        .filter_map(|_| router.pick(&ask(&candidates), 1))
        .collect();
    seen.sort_unstable();
    seen.dedup();
    assert_eq!(seen.len(), 4);
}

/// 400 entries with a subset each still reach 1,600 endpoints about evenly.
#[test]
fn pick_subsets_cover_a_large_fleet() {
    let candidates = candidates(1600);
    let mut reached = vec![0u32; candidates.len()];
    for seed in 0..400 {
        let mut router = Router::new(stable_hash(format!("entry-{seed}").as_bytes()));
        let mut used: Vec<HostKey> = Vec::new();
        while let Some(key) = router.pick(
            &Ask {
                candidates: &candidates,
                prefix: None,
                tried: &used,
            },
            0,
        ) {
            used.push(key);
        }
        assert_eq!(used.len(), 48);
        for key in used {
            let at = candidates.binary_search_by_key(&key, |it| it.key);
            reached[at.expect("a candidate was picked")] += 1;
        }
    }
    let (least, most) = (reached.iter().min(), reached.iter().max());
    assert!(least >= Some(&1) && most <= Some(&36), "{least:?} {most:?}");
}
