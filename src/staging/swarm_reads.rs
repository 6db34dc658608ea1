use std::net::SocketAddr;

use crate::staging::EnginePort;
use crate::staging::transfer::Place;
use crate::staging::transfer::Read;
use crate::staging::transfer::Transfer;
use crate::weights::ChunkBitmap;
use crate::weights::ChunkFetch;
use crate::weights::ChunkRanking;
use crate::weights::ChunkSource;
use crate::weights::Digest;
use crate::weights::OriginPort;
use crate::weights::PeerKey;
use crate::weights::PeerState;
use crate::weights::PieceManifest;
use crate::weights::PlanInput;
use crate::weights::PlanSettings;
use crate::weights::SwarmHost;
use crate::weights::next_fetches;

/// Silence after which a host is not counted on, in ms: several notes.
const HOLDER_SILENT_MS: u64 = 900;

/// Time in which a host that was never heard from is counted on, in ms.
const HOLDER_AWAITED_MS: u64 = 1_200;

/// Reads in progress at a time.
const PLAN: PlanSettings = PlanSettings {
    max_regional_fetches: 3,
    max_fetches_per_peer: 2,
    max_imports: 3,
    takeover_wait_ms: 500,
};

/// The hosts that take part, in one order for all of them.
pub(super) struct Swarm {
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) homes: ChunkRanking,
    pub(super) me: PeerKey,
}

impl<E: EnginePort, O: OriginPort> Transfer<'_, E, O> {
    /// Endpoint processes of the replicas of the service, ascending.
    pub(super) fn hosts(&self) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let port = state.settings.internal.port();
        let mut hosts: Vec<SocketAddr> = state
            .replicas
            .iter()
            .map(|replica| SocketAddr::new(replica.address.ip(), port))
            .collect();
        hosts.push(state.settings.internal);
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }

    pub(super) fn swarm(&self, manifest: &PieceManifest) -> Swarm {
        let addresses = self.hosts();
        let state = self.state.borrow();
        let settings = &state.settings;
        let domain_of = |address: &SocketAddr| {
            state
                .replicas
                .iter()
                .find(|replica| replica.address.ip() == address.ip())
                .map_or(settings.failure_domain.as_str(), |replica| {
                    replica.failure_domain.as_str()
                })
        };
        let hosts: Vec<SwarmHost> = addresses
            .iter()
            .map(|address| SwarmHost {
                name: address.to_string(),
                region: settings.region(domain_of(address)).to_owned(),
                present: true,
            })
            .collect();
        let origin_region = state.origin().map_or_else(String::new, |origin| {
            settings.region(&origin.failure_domain).to_owned()
        });
        let digest = Digest::of_bytes(manifest.digests.as_flattened());
        let homes = ChunkRanking::new(digest, manifest.piece_count(), &hosts, &origin_region);
        let me = addresses
            .iter()
            .position(|address| *address == settings.internal)
            .expect("the own address is among the hosts");
        Swarm {
            addresses,
            homes,
            me: PeerKey(u32::try_from(me).unwrap_or(u32::MAX)),
        }
    }

    /// Reads from the swarm to start now.
    pub(super) fn swarm_reads(
        &self,
        swarm: &Swarm,
        have: &ChunkBitmap,
        in_flight: &[Read],
        blocked: &[(Place, u64)],
        (started_ms, progress_ms): (u64, u64),
        seed: u64,
    ) -> Vec<Read> {
        // What comes through an entry need not be planned.
        let mut held = have.clone();
        let mut planned = Vec::new();
        for read in in_flight {
            match read.place {
                Place::Entry(_) => {
                    held.insert(read.chunk);
                }
                Place::Swarm(source) => planned.push(ChunkFetch {
                    chunk: read.chunk,
                    source,
                }),
            }
        }
        let state = self.state.borrow();
        let now_ms = state.now_ms();
        let blocked_until = |source: ChunkSource| {
            let mine = blocked
                .iter()
                .filter(|block| block.0 == Place::Swarm(source));
            mine.map(|block| block.1).max().unwrap_or(0)
        };
        let neighbours: Vec<PeerState> = (0u32..)
            .zip(&swarm.addresses)
            .map(|(index, address)| {
                let key = PeerKey(index);
                let note = state.holders.iter().find(|holder| {
                    holder.address == *address
                        && holder.model == self.model
                        && holder.version == self.version
                });
                let is_lost = match note {
                    Some(note) => now_ms.saturating_sub(note.heard_ms) >= HOLDER_SILENT_MS,
                    None => now_ms.saturating_sub(started_ms) >= HOLDER_AWAITED_MS,
                };
                PeerState {
                    key,
                    held_chunks: note
                        .filter(|note| note.have.chunk_count() == have.chunk_count())
                        .map_or_else(
                            || ChunkBitmap::empty(have.chunk_count()),
                            |note| note.have.clone(),
                        ),
                    queued_reads: 0,
                    blocked_until_ms: blocked_until(ChunkSource::Peer(key)),
                    unavailable: is_lost && key != swarm.me,
                }
            })
            .collect();
        let fetches = next_fetches(&PlanInput {
            now_ms,
            progress_ms,
            local: swarm.me,
            ranking: &swarm.homes,
            held_chunks: &held,
            in_flight: &planned,
            peers: &neighbours,
            // While entries live, they alone read the origin.
            origin_blocked_until_ms: if state.near_entries().is_empty() {
                blocked_until(ChunkSource::Origin)
            } else {
                u64::MAX
            },
            settings: &PLAN,
            seed,
        });
        fetches
            .into_iter()
            .map(|fetch| Read {
                chunk: fetch.chunk,
                place: Place::Swarm(fetch.source),
            })
            .collect()
    }
}
