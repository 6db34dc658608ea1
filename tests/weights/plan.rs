use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

use crate::samples::sample_hosts;
use crate::samples::sample_ranking;
use bergamotfork::weights::ChunkBitmap;
use bergamotfork::weights::ChunkFetch;
use bergamotfork::weights::ChunkRanking;
use bergamotfork::weights::ChunkSource;
use bergamotfork::weights::PeerKey;
use bergamotfork::weights::PeerState;
use bergamotfork::weights::PlanInput;
use bergamotfork::weights::PlanSettings;
use bergamotfork::weights::next_fetches;

const CHUNKS: u32 = 24;

/// Inputs of a plan.
struct PlanCase {
    ranking: ChunkRanking,
    local: PeerKey,
    held_chunks: ChunkBitmap,
    in_flight: Vec<ChunkFetch>,
    peers: Vec<PeerState>,
    settings: PlanSettings,
    now_ms: u64,
    origin_blocked_until_ms: u64,
    seed: u64,
}

impl PlanCase {
    fn new(count: usize, regions: usize, local: u32) -> Self {
        Self {
            ranking: sample_ranking(CHUNKS, &sample_hosts(count, regions)),
            local: PeerKey(local),
            held_chunks: ChunkBitmap::empty(CHUNKS),
            in_flight: Vec::new(),
            peers: Vec::new(),
            settings: PlanSettings::default(),
            now_ms: 0,
            origin_blocked_until_ms: 0,
            seed: 7,
        }
    }

    fn arbitrary(u: &mut Unstructured<'_>) -> Result<Self> {
        let count: u32 = u.int_in_range(1..=20)?;
        let regions = u.int_in_range(1..=3)?;
        let mut case = Self::new(count as usize, regions, u.int_in_range(0..=count - 1)?);
        case.held_chunks = arbitrary_chunks(u)?;
        case.now_ms = u.int_in_range(0..=100_000)?;
        case.seed = u.arbitrary()?;
        for key in 0..count {
            if key != case.local.0 && u.arbitrary()? {
                case.peers.push(PeerState {
                    key: PeerKey(key),
                    held_chunks: arbitrary_chunks(u)?,
                    queued_reads: u.int_in_range(0..=5)?,
                    blocked_until_ms: u.int_in_range(0..=200_000)?,
                    unavailable: u.ratio(1, 5)?,
                });
            }
        }
        for chunk in 0..u.int_in_range(0..=3)? {
            if !case.held_chunks.contains(chunk) {
                case.in_flight.push(ChunkFetch {
                    chunk,
                    source: ChunkSource::Origin,
                });
            }
        }
        Ok(case)
    }

    fn plan(&self) -> Vec<ChunkFetch> {
        next_fetches(&PlanInput {
            now_ms: self.now_ms,
            last_progress_ms: 0,
            local: self.local,
            ranking: &self.ranking,
            held_chunks: &self.held_chunks,
            in_flight: &self.in_flight,
            peers: &self.peers,
            origin_blocked_until_ms: self.origin_blocked_until_ms,
            settings: &self.settings,
            seed: self.seed,
        })
    }

    /// Makes every host of another region hold all chunks.
    fn complete_other_regions(&mut self) {
        let region = self.ranking.region_of(self.local);
        let others = (0..12)
            .map(PeerKey)
            .filter(|key| self.ranking.region_of(*key) != region);
        self.peers = others
            .map(|key| PeerState {
                key,
                held_chunks: ChunkBitmap::complete(CHUNKS),
                queued_reads: 0,
                blocked_until_ms: 0,
                unavailable: false,
            })
            .collect();
    }

    fn peer(&self, key: PeerKey) -> Option<&PeerState> {
        self.peers.iter().find(|state| state.key == key)
    }
}

fn arbitrary_chunks(u: &mut Unstructured<'_>) -> Result<ChunkBitmap> {
    let mut map = ChunkBitmap::empty(CHUNKS);
    for index in 0..CHUNKS {
        if u.arbitrary()? {
            map.insert(index);
        }
    }
    Ok(map)
}

#[test]
fn next_fetches_each_chunk_once() {
    arbtest(|u| {
        let case = PlanCase::arbitrary(u)?;
        let mut all = case.in_flight.clone();
        all.extend(case.plan());
        let mut chunks: Vec<u32> = all.iter().map(|fetch| fetch.chunk).collect();
        chunks.sort_unstable();
        chunks.dedup();
        assert_eq!(chunks.len(), all.len());
        assert!(
            chunks
                .iter()
                .all(|chunk| !case.held_chunks.contains(*chunk))
        );
        Ok(())
    });
}

#[test]
fn next_fetches_available_peers_within_limits() {
    arbtest(|u| {
        let case = PlanCase::arbitrary(u)?;
        let plan = case.plan();
        let region = case.ranking.region_of(case.local);
        for fetch in &plan {
            let ChunkSource::Peer(key) = fetch.source else {
                continue;
            };
            assert_ne!(key, case.local);
            let known = case.peer(key);
            assert!(
                known.is_none_or(|peer| !peer.unavailable && peer.blocked_until_ms <= case.now_ms)
            );
            if case.ranking.region_of(key) == region {
                assert!(known.is_some_and(|peer| peer.held_chunks.contains(fetch.chunk)));
            }
            let same = plan
                .iter()
                .filter(|other| other.source == fetch.source)
                .count();
            assert!(same <= case.settings.max_fetches_per_peer);
        }
        assert!(plan.len() <= case.settings.max_regional_fetches + case.settings.max_imports);
        Ok(())
    });
}

#[test]
fn next_fetches_cross_region_along_route() {
    arbtest(|u| {
        let case = PlanCase::arbitrary(u)?;
        let region = case.ranking.region_of(case.local);
        for fetch in case.plan() {
            match fetch.source {
                ChunkSource::Origin => {
                    assert_eq!(case.ranking.upstream_region(fetch.chunk, region), None)
                }
                ChunkSource::Peer(key) if case.ranking.region_of(key) != region => {
                    let upstream = case.ranking.upstream_region(fetch.chunk, region);
                    assert_eq!(upstream, Some(case.ranking.region_of(key)));
                }
                ChunkSource::Peer(_) => {}
            }
        }
        Ok(())
    });
}

#[test]
fn next_fetches_one_import_per_chunk_and_region() {
    for regions in 1..4 {
        let mut imports = vec![0; CHUNKS as usize * regions];
        for local in 0..12 {
            let mut case = PlanCase::new(12, regions, local);
            case.settings.max_imports = CHUNKS as usize;
            case.settings.max_fetches_per_peer = CHUNKS as usize;
            let region = case.ranking.region_of(case.local);
            case.complete_other_regions();
            for fetch in case.plan() {
                imports[region * CHUNKS as usize + fetch.chunk as usize] += 1;
            }
        }
        assert!(
            imports.iter().all(|count| *count == 1),
            "{regions} regions: {imports:?}"
        );
    }
}

#[test]
fn next_fetches_second_rank_first_unavailable() {
    let mut case = PlanCase::new(12, 1, 0);
    let ranked = case.ranking.ranked_hosts(5, 0).to_vec();
    case.local = ranked[1];
    case.settings.max_imports = CHUNKS as usize;
    let import = ChunkFetch {
        chunk: 5,
        source: ChunkSource::Origin,
    };
    assert!(!case.plan().contains(&import));
    case.peers.push(PeerState {
        key: ranked[0],
        held_chunks: ChunkBitmap::empty(CHUNKS),
        queued_reads: 0,
        blocked_until_ms: 0,
        unavailable: true,
    });
    assert!(case.plan().contains(&import));
}

#[test]
fn next_fetches_second_rank_after_no_progress() {
    let mut case = PlanCase::new(12, 1, 0);
    case.local = case.ranking.ranked_hosts(5, 0)[1];
    case.settings.max_imports = CHUNKS as usize;
    let imports_chunk = |case: &PlanCase| case.plan().iter().any(|fetch| fetch.chunk == 5);
    case.now_ms = case.settings.takeover_wait_ms - 1;
    assert!(!imports_chunk(&case));
    case.now_ms = case.settings.takeover_wait_ms * 3;
    assert!(imports_chunk(&case));
}

#[test]
fn next_fetches_rarest_first() {
    let mut case = PlanCase::new(12, 1, 0);
    case.settings.max_imports = 0;
    case.settings.max_regional_fetches = 1;
    for key in 1..4 {
        let mut held_chunks = ChunkBitmap::empty(CHUNKS);
        held_chunks.insert(1);
        if key == 2 {
            held_chunks.insert(9);
        }
        case.peers.push(PeerState {
            key: PeerKey(key),
            held_chunks,
            queued_reads: 0,
            blocked_until_ms: 0,
            unavailable: false,
        });
    }
    let expected = ChunkFetch {
        chunk: 9,
        source: ChunkSource::Peer(PeerKey(2)),
    };
    assert_eq!(case.plan(), vec![expected]);
}

#[test]
fn next_fetches_origin_blocked() {
    let mut case = PlanCase::new(1, 1, 0);
    case.origin_blocked_until_ms = 500;
    assert!(case.plan().is_empty());
    case.now_ms = 500;
    assert_eq!(case.plan().len(), case.settings.max_imports);
}

#[test]
fn next_fetches_fourth_rank_three_unavailable() {
    let mut case = PlanCase::new(12, 1, 0);
    let ranked = case.ranking.ranked_hosts(5, 0).to_vec();
    case.local = ranked[3];
    case.settings.max_imports = CHUNKS as usize;
    let mut unavailable = ranked[..3].to_vec();
    unavailable.sort_unstable();
    case.peers = unavailable
        .into_iter()
        .map(|key| PeerState {
            key,
            held_chunks: ChunkBitmap::empty(CHUNKS),
            queued_reads: 0,
            blocked_until_ms: 0,
            unavailable: true,
        })
        .collect();
    assert!(case.plan().iter().any(|fetch| fetch.chunk == 5));
}
