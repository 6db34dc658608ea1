use std::collections::VecDeque;

use bergamotfork::fleet::RelayEntry;
use bergamotfork::fleet::assign_pieces;

const PIECES: u32 = 48;
const PIECE_BITS: f64 = 49_152.0 * 8.0;
const ORIGIN_MBPS: f64 = 9.0;
const HOST_MBPS: f64 = 9.4;
const STEP_MS: f64 = 2.0;

/// Share of an entry's link that pieces may use.
const PIECE_LINK_SHARE: f64 = 0.6;

struct Host {
    requested: u32,
    held: u32,
    // Time at which the link of the host has carried all pieces sent so far.
    link_free_ms: f64,
    in_flight: usize,
}

fn piece_ms(link_mbps: f64) -> f64 {
    PIECE_BITS / (link_mbps * 1_000.0)
}

/// Returns the entries of one region: two with wide links and ten with narrow ones.
fn entries() -> Vec<RelayEntry> {
    (0..12)
        .map(|index| RelayEntry {
            address: format!("10.0.0.{}:7", index + 1).parse().unwrap(),
            link_mbps: if index < 2 { 200.0 } else { 40.0 },
        })
        .collect()
}

/// Returns the time until `hosts` hosts of a region hold a version, in ms. The pieces
/// leave the origin one after the other, and each host has two fetches in progress.
fn distribution_ms(hosts: usize) -> f64 {
    let entries = entries();
    let assigned = assign_pieces(PIECES, &entries);
    let mut queues: Vec<VecDeque<(usize, u32)>> = vec![VecDeque::new(); entries.len()];
    let mut entry_free_ms = vec![0.0f64; entries.len()];
    let mut hosts: Vec<Host> = (0..hosts)
        .map(|_| Host {
            requested: 0,
            held: 0,
            link_free_ms: 0.0,
            in_flight: 0,
        })
        .collect();
    let mut arrivals: Vec<(f64, usize)> = Vec::new();
    let mut now_ms = 0.0;
    while hosts.iter().any(|host| host.held < PIECES) {
        arrivals.retain(|(at_ms, host)| {
            let is_arrived = *at_ms <= now_ms;
            if is_arrived {
                hosts[*host].held += 1;
                hosts[*host].in_flight -= 1;
            }
            !is_arrived
        });
        for (index, host) in hosts.iter_mut().enumerate() {
            while host.in_flight < 2 && host.requested < PIECES {
                let piece = host.requested;
                let entry = assigned[piece as usize];
                let at = entries.iter().position(|e| *e == entry).unwrap();
                queues[at].push_back((index, piece));
                host.requested += 1;
                host.in_flight += 1;
            }
        }
        for (at, queue) in queues.iter_mut().enumerate() {
            let is_at_entry = |piece: u32| f64::from(piece + 1) * piece_ms(ORIGIN_MBPS) <= now_ms;
            while entry_free_ms[at] <= now_ms {
                let Some(next) = queue.iter().position(|(_, piece)| is_at_entry(*piece)) else {
                    break;
                };
                let (host, _) = queue.remove(next).unwrap();
                let took_ms = piece_ms(entries[at].link_mbps * PIECE_LINK_SHARE);
                entry_free_ms[at] = entry_free_ms[at].max(now_ms) + took_ms;
                let host_ms = hosts[host].link_free_ms.max(now_ms) + piece_ms(HOST_MBPS);
                hosts[host].link_free_ms = host_ms;
                arrivals.push((host_ms.max(entry_free_ms[at]), host));
            }
        }
        now_ms += STEP_MS;
    }
    now_ms
}

/// A new version must serve every request 9.7 s after its declaration. Half of that
/// time is reserved for the load slots, so the pieces have to arrive in the other half.
#[test]
fn assign_pieces_many_hosts_in_time() {
    let took_ms = distribution_ms(25);
    assert!(took_ms < 9_700.0 / 2.0, "{took_ms} ms");
}

/// Guards against an entry with more pieces than its share of the bandwidth, and
/// against many reassigned pieces when an entry leaves.
#[test]
fn assign_pieces_by_bandwidth() {
    let all = entries();
    let chosen = assign_pieces(PIECES, &all);
    assert_eq!(chosen.len(), PIECES as usize);
    let total_mbps: f64 = all.iter().map(|entry| entry.link_mbps).sum();
    for entry in &all {
        let count = chosen.iter().filter(|other| *other == entry).count() as f64;
        let share = f64::from(PIECES) * entry.link_mbps / total_mbps;
        assert!(
            count <= (share * 1.1).ceil(),
            "{count} pieces for a share of {share}"
        );
    }
    let fewer = assign_pieces(PIECES, &all[..11]);
    let moved = chosen
        .iter()
        .zip(&fewer)
        .filter(|(before, after)| before != after && **before != all[11]);
    assert!(moved.count() <= PIECES as usize / 4);
}
