//! The choice of the entries that clients are told of.

use std::net::SocketAddr;

use bergamotfork::fleet::ListedEntry;
use bergamotfork::fleet::choose_entries;

const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];

const MAX_ENTRIES: usize = 64;

/// Least share of its mean that a failure domain gets of the requests.
const MIN_SHARE_OF_MEAN: f64 = 0.8;

fn front(domain: usize, host: usize) -> SocketAddr {
    SocketAddr::from(([10, domain as u8 + 1, 0, host as u8 + 1], 80))
}

fn entries(hosts_per_domain: usize) -> Vec<ListedEntry<'static>> {
    let hosts = (0..DOMAINS.len()).flat_map(|d| (0..hosts_per_domain).map(move |h| (d, h)));
    hosts
        .map(|(domain, host)| ListedEntry {
            front: front(domain, host),
            failure_domain: DOMAINS[domain],
            region: DOMAINS[domain],
        })
        .collect()
}

fn domain_of(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[1]) - 1,
        std::net::IpAddr::V6(_) => unreachable!("the test uses IPv4"),
    }
}

/// Replays clients of every failure domain, who ask an entry near them and connect to a
/// random address of its answer. Guards against an answer that holds the same addresses for
/// all, so that the replicas of other failure domains are left without work.
#[test]
fn choose_entries_large_fleet_spread() {
    let entries = entries(20);
    let mut shares = [0.0; DOMAINS.len()];
    for (domain, name) in DOMAINS.iter().enumerate() {
        let asked = front(domain, 0).to_string();
        let chosen = choose_entries(&entries, name, name, MAX_ENTRIES, &asked);
        assert!(chosen.len() <= MAX_ENTRIES);
        let near = chosen.iter().filter(|a| domain_of(**a) == domain).count();
        assert_eq!(near, 20);
        for address in &chosen {
            shares[domain_of(*address)] += 1.0 / chosen.len() as f64;
        }
    }
    for share in shares {
        assert!(share >= MIN_SHARE_OF_MEAN, "{shares:?}");
    }
}

/// Guards against clients that know no entry any more after the loss of a failure domain,
/// until their answer expires.
#[test]
fn choose_entries_near_ones_lost() {
    let entries = entries(20);
    let chosen = choose_entries(&entries, "c", "c", MAX_ENTRIES, "x");
    let far = chosen.iter().filter(|a| domain_of(**a) != 2).count();
    assert!((3..=16).contains(&far), "{far} entries elsewhere");
}

#[test]
fn choose_entries_stable_answer() {
    let entries = entries(20);
    let mut reversed = entries.clone();
    reversed.reverse();
    let mut answers = [&entries, &reversed].map(|known| {
        let mut chosen = choose_entries(known, "c", "c", MAX_ENTRIES, "x");
        chosen.sort_unstable();
        chosen
    });
    let second = answers[1].clone();
    assert_eq!(answers[0], second);
    answers[0].dedup();
    assert_eq!(answers[0].len(), second.len());
}

#[test]
fn choose_entries_few_near_all() {
    let entries = entries(2);
    let chosen = choose_entries(&entries, "a", "a", MAX_ENTRIES, "x");
    assert_eq!(chosen.len(), entries.len());
}

#[test]
fn choose_entries_more_near_than_fit() {
    let entries = entries(200);
    let mut seen = Vec::new();
    for asked in 0..40 {
        let chosen = choose_entries(&entries, "a", "a", MAX_ENTRIES, &asked.to_string());
        assert_eq!(chosen.len(), MAX_ENTRIES);
        seen.extend(chosen.into_iter().filter(|a| domain_of(*a) == 0));
    }
    seen.sort_unstable();
    seen.dedup();
    assert_eq!(seen.len(), 200, "every entry gets clients");
}

#[test]
fn choose_entries_region_of_small_domains() {
    let mut entries = entries(4);
    for entry in &mut entries {
        entry.region = if entry.failure_domain < "c" { "r" } else { "s" };
    }
    let chosen = choose_entries(&entries, "a", "r", MAX_ENTRIES, "x");
    let near = chosen.iter().filter(|a| domain_of(**a) < 2).count();
    assert_eq!(near, 8);
    assert_eq!(chosen.len(), 10);
}
