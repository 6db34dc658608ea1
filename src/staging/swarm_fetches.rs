use std::net::SocketAddr;

use crate::staging::EnginePort;
use crate::staging::weights_download::PieceFetch;
use crate::staging::weights_download::PieceSource;
use crate::staging::weights_download::WeightsDownload;
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

/// Time without a have message after which a host counts as failed, in ms: several
/// intervals of these messages.
const PEER_TIMEOUT_MS: u64 = 900;

/// Time after the start of the download during which a host that has sent no have
/// message yet does not count as failed, in ms.
const PEER_STARTUP_MS: u64 = 1_200;

/// Limits of the fetches in progress at a time.
const PLAN_SETTINGS: PlanSettings = PlanSettings {
    max_regional_fetches: 3,
    max_fetches_per_peer: 2,
    max_imports: 3,
    takeover_wait_ms: 500,
};

/// Hosts that take part in the swarm, in the same order on each of them.
pub(super) struct SwarmView {
    /// Addresses of the endpoint processes, ascending; a `PeerKey` is an index here.
    pub(super) addresses: Vec<SocketAddr>,
    /// Primary holders of each piece.
    pub(super) primary_holders: ChunkRanking,
    /// Key of this host.
    pub(super) own_key: PeerKey,
}

impl<E: EnginePort, O: OriginPort> WeightsDownload<'_, E, O> {
    /// Returns the addresses of the endpoint processes of the service, ascending.
    pub(super) fn swarm_addresses(&self) -> Vec<SocketAddr> {
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

    /// Builds the view of the swarm from the known replicas.
    pub(super) fn swarm_view(&self, manifest: &PieceManifest) -> SwarmView {
        let addresses = self.swarm_addresses();
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
        let primary_holders =
            ChunkRanking::new(digest, manifest.piece_count(), &hosts, &origin_region);
        let own_index = addresses
            .iter()
            .position(|address| *address == settings.internal)
            .expect("the swarm addresses include this host");
        SwarmView {
            addresses,
            primary_holders,
            own_key: PeerKey(u32::try_from(own_index).unwrap_or(u32::MAX)),
        }
    }

    /// Returns the fetches from the swarm to start now.
    ///
    /// `blocked` lists the sources that failed, each with the monotonic time in ms until
    /// which nothing is fetched from it. `started_ms` is the start of the download,
    /// `progress_ms` the time of the last new piece. `seed` breaks ties and has to differ
    /// from call to call.
    pub(super) fn swarm_fetches(
        &self,
        swarm: &SwarmView,
        have: &ChunkBitmap,
        in_flight: &[PieceFetch],
        blocked: &[(PieceSource, u64)],
        (started_ms, progress_ms): (u64, u64),
        seed: u64,
    ) -> Vec<PieceFetch> {
        // Pieces that are being fetched from an entry need not be planned.
        let mut held_or_expected = have.clone();
        let mut swarm_in_flight = Vec::new();
        for fetch in in_flight {
            match fetch.source {
                PieceSource::Entry(_) => {
                    held_or_expected.insert(fetch.index);
                }
                PieceSource::Swarm(source) => swarm_in_flight.push(ChunkFetch {
                    chunk: fetch.index,
                    source,
                }),
            }
        }
        let state = self.state.borrow();
        let now_ms = state.now_ms();
        let blocked_until = |source: ChunkSource| {
            let blocks = blocked
                .iter()
                .filter(|block| block.0 == PieceSource::Swarm(source));
            blocks.map(|block| block.1).max().unwrap_or(0)
        };
        let peers: Vec<PeerState> = (0u32..)
            .zip(&swarm.addresses)
            .map(|(index, address)| {
                let key = PeerKey(index);
                let reported = state.peer_pieces.iter().find(|peer| {
                    peer.address == *address
                        && peer.model == self.model
                        && peer.version == self.version
                });
                let has_timed_out = match reported {
                    Some(peer) => now_ms.saturating_sub(peer.last_received_ms) >= PEER_TIMEOUT_MS,
                    None => now_ms.saturating_sub(started_ms) >= PEER_STARTUP_MS,
                };
                PeerState {
                    key,
                    held_chunks: reported
                        .filter(|peer| peer.have.chunk_count() == have.chunk_count())
                        .map_or_else(
                            || ChunkBitmap::empty(have.chunk_count()),
                            |peer| peer.have.clone(),
                        ),
                    queued_reads: 0,
                    blocked_until_ms: blocked_until(ChunkSource::Peer(key)),
                    unavailable: has_timed_out && key != swarm.own_key,
                }
            })
            .collect();
        let fetches = next_fetches(&PlanInput {
            now_ms,
            last_progress_ms: progress_ms,
            local: swarm.own_key,
            ranking: &swarm.primary_holders,
            held_chunks: &held_or_expected,
            in_flight: &swarm_in_flight,
            peers: &peers,
            // While entries are available, only they fetch from the origin.
            origin_blocked_until_ms: if state.relay_entries().is_empty() {
                blocked_until(ChunkSource::Origin)
            } else {
                u64::MAX
            },
            settings: &PLAN_SETTINGS,
            seed,
        });
        fetches
            .into_iter()
            .map(|fetch| PieceFetch {
                index: fetch.chunk,
                source: PieceSource::Swarm(fetch.source),
            })
            .collect()
    }
}
