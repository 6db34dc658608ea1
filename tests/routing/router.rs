use std::net::Ipv4Addr;
use std::net::SocketAddr;

use arbtest::arbtest;

use bergamotfork::calls::AttemptOutcome;
use bergamotfork::calls::Candidate;
use bergamotfork::calls::RouteRequest;
use bergamotfork::calls::Router;
use bergamotfork::calls::stable_hash;
use bergamotfork::clients::HostList;
use bergamotfork::hosts::HostKey;
use bergamotfork::hosts::HostRecord;
use bergamotfork::hosts::HostRole;
use bergamotfork::hosts::ListedState;
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
        state: ListedState::Live,
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
            last_received_ms: 0,
        })
        .collect()
}

fn route_request(candidates: &[Candidate]) -> RouteRequest<'_> {
    RouteRequest {
        candidates,
        prefix_hash: None,
        tried: &[],
    }
}

#[test]
fn pick_endpoint_takes_less_loaded_of_two() {
    let mut candidates = candidates(2);
    candidates[0].load.running = 9;
    let mut router = Router::new(1);
    for _ in 0..50 {
        assert_eq!(
            router.pick_endpoint(&route_request(&candidates), 0),
            Some(candidates[1].key)
        );
    }
}

#[test]
fn pick_endpoint_skips_tried_endpoints() {
    arbtest(|u| {
        let candidates = candidates(u.int_in_range(1..=60)?);
        let mut router = Router::new(u.arbitrary()?);
        let mut tried: Vec<HostKey> = Vec::new();
        loop {
            let request = RouteRequest {
                candidates: &candidates,
                prefix_hash: u.arbitrary()?,
                tried: &tried,
            };
            let Some(key) = router.pick_endpoint(&request, 0) else {
                break;
            };
            assert!(!tried.contains(&key));
            tried.push(key);
        }
        assert_eq!(tried.len(), candidates.len().min(48));
        Ok(())
    });
}

/// Between two load reports, a burst is spread by the requests that the entry itself sent.
#[test]
fn pick_endpoint_burst_spreads_despite_old_reports() {
    for age_ms in [0, 2000, 60_000] {
        let candidates = candidates(10);
        let mut router = Router::new(3);
        for _ in 0..100 {
            let key = router
                .pick_endpoint(&route_request(&candidates), age_ms)
                .expect("all usable");
            router.record_start(key, age_ms);
        }
        let most = candidates.iter().map(|it| router.in_flight(it.key)).max();
        assert!(most <= Some(13), "{most:?} of 100 on one of 10");
    }
}

#[test]
fn pick_endpoint_prefix_load_is_bounded() {
    let candidates = candidates(8);
    let mut router = Router::new(5);
    let mut sent = vec![0u32; candidates.len()];
    let mut running = Vec::new();
    for i in 0..2000u64 {
        let now_ms = i * 5;
        // One of eight prefixes has more than half of the requests.
        let prefix = if i % 2 == 0 { 0 } else { i / 2 % 8 };
        let request = RouteRequest {
            candidates: &candidates,
            prefix_hash: Some(prefix),
            tried: &[],
        };
        let key = router.pick_endpoint(&request, now_ms).expect("all usable");
        router.record_start(key, now_ms);
        running.push((key, now_ms));
        if running.len() > 40 {
            let (done, started_ms) = running.remove(0);
            router.record_end(done, started_ms, AttemptOutcome::Complete, now_ms);
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
fn pick_endpoint_prefix_keeps_its_endpoint() {
    let candidates = candidates(8);
    let (mut a, mut b) = (Router::new(1), Router::new(2));
    for prefix in 0..32 {
        let request = RouteRequest {
            candidates: &candidates,
            prefix_hash: Some(prefix),
            tried: &[],
        };
        let preferred = a.pick_endpoint(&request, 0);
        assert_eq!(a.pick_endpoint(&request, 10), preferred);
        assert_eq!(b.pick_endpoint(&request, 0), preferred);
    }
}

#[test]
fn pick_endpoint_avoids_slow_endpoint_but_probes_it() {
    let candidates = candidates(10);
    let mut router = Router::new(7);
    for (at, candidate) in candidates.iter().enumerate() {
        let interval_us = if at == 4 { 100_000 } else { 10_000 };
        router.record_token_interval(candidate.key, interval_us);
    }
    let slow = candidates[4].key;
    let mut to_slow = 0;
    for i in 0..3000 {
        let key = router
            .pick_endpoint(&route_request(&candidates), i)
            .expect("nine are usable");
        router.record_start(key, i);
        router.record_end(key, i, AttemptOutcome::Complete, i);
        to_slow += u32::from(key == slow);
    }
    assert!((1..=4).contains(&to_slow), "{to_slow} probes in 3 s");
}

#[test]
fn pick_endpoint_avoids_failed_endpoint_for_longer_each_time() {
    let candidates = candidates(10);
    let mut router = Router::new(7);
    let failing = candidates[0].key;
    let mut failures = 0;
    for now_ms in 0..8000 {
        let key = router
            .pick_endpoint(&route_request(&candidates), now_ms)
            .expect("nine are usable");
        router.record_start(key, now_ms);
        let outcome = if key == failing {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Complete
        };
        router.record_end(key, now_ms, outcome, now_ms);
        failures += u32::from(key == failing);
    }
    // The endpoint is avoided for 0.5, 1, 2, 4 and 8 s.
    assert!((2..=5).contains(&failures), "{failures}");
}

#[test]
fn pick_endpoint_uses_all_if_most_failed() {
    let candidates = candidates(4);
    let mut router = Router::new(7);
    for candidate in &candidates[..3] {
        router.record_start(candidate.key, 0);
        router.record_end(candidate.key, 0, AttemptOutcome::Failed, 0);
    }
    let mut picked: Vec<HostKey> = (0..200)
        .filter_map(|_| router.pick_endpoint(&route_request(&candidates), 1))
        .collect();
    picked.sort_unstable();
    picked.dedup();
    assert_eq!(picked.len(), 4);
}

/// The subsets of 400 entries cover 1,600 endpoints about evenly.
#[test]
fn pick_endpoint_subsets_cover_large_fleet() {
    let candidates = candidates(1600);
    let mut reached = vec![0u32; candidates.len()];
    for seed in 0..400 {
        let mut router = Router::new(stable_hash(format!("entry-{seed}").as_bytes()));
        let mut used: Vec<HostKey> = Vec::new();
        while let Some(key) = router.pick_endpoint(
            &RouteRequest {
                candidates: &candidates,
                prefix_hash: None,
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

/// Endpoints may report any load, and be slow at the same time.
#[test]
fn pick_endpoint_largest_loads() {
    let mut candidates = candidates(2);
    let mut router = Router::new(1);
    for candidate in &mut candidates {
        router.record_token_interval(candidate.key, u64::MAX / 1_000_000);
        candidate.load = Load {
            running: u32::MAX,
            queued: u32::MAX,
            slots: 0,
        };
    }
    for _ in 0..50 {
        assert!(
            router
                .pick_endpoint(&route_request(&candidates), 0)
                .is_some()
        );
        assert!(!router.has_free_slot(&route_request(&candidates), 0));
    }
}
