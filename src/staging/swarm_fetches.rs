use std::net::SocketAddr;

use crate::staging::EnginePort;
use crate::staging::weights_download::PieceFetch;
use crate::staging::weights_download::PieceSource;
use crate::staging::weights_download::WeightsDownload;
use crate::weights::Digest;
use crate::weights::Fetch;
use crate::weights::HaveMap;
use crate::weights::Homes;
use crate::weights::Neighbour;
use crate::weights::OriginPort;
use crate::weights::PeerKey;
use crate::weights::PieceManifest;
use crate::weights::PlanInput;
use crate::weights::PlanSettings;
use crate::weights::Source;
use crate::weights::SwarmHost;
use crate::weights::next_fetches;

/// Silence after which a host is not counted on, in ms: several notes.
const PEER_SILENT_MS: u64 = 900;

/// Time in which a host that was never heard from is counted on, in ms.
const PEER_AWAITED_MS: u64 = 1_200;

/// Reads in progress at a time.
const PLAN: PlanSettings = PlanSettings {
    max_fetches: 3,
    max_per_peer: 2,
    max_duties: 3,
    takeover_wait_ms: 500,
};

/// The hosts that take part, in one order for all of them.
pub(super) struct SwarmView {
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) homes: Homes,
    pub(super) me: PeerKey,
}

impl<E: EnginePort, O: OriginPort> WeightsDownload<'_, E, O> {
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

    pub(super) fn swarm(&self, manifest: &PieceManifest) -> SwarmView {
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
        let digest = Digest::of(manifest.digests.as_flattened());
        let homes = Homes::new(digest, manifest.chunks(), &hosts, &origin_region);
        let me = addresses
            .iter()
            .position(|address| *address == settings.internal)
            .expect("the own address is among the hosts");
        SwarmView {
            addresses,
            homes,
            me: PeerKey(u32::try_from(me).unwrap_or(u32::MAX)),
        }
    }

    /// Reads from the swarm to start now.
    pub(super) fn swarm_fetches(
        &self,
        swarm: &SwarmView,
        have: &HaveMap,
        in_flight: &[PieceFetch],
        blocked: &[(PieceSource, u64)],
        (started_ms, progress_ms): (u64, u64),
        seed: u64,
    ) -> Vec<PieceFetch> {
        // What comes through an entry need not be planned.
        let mut held = have.clone();
        let mut planned = Vec::new();
        for read in in_flight {
            match read.place {
                PieceSource::Entry(_) => {
                    held.insert(read.chunk);
                }
                PieceSource::Swarm(source) => planned.push(Fetch {
                    chunk: read.chunk,
                    source,
                }),
            }
        }
        let state = self.state.borrow();
        let now_ms = state.now_ms();
        let blocked_until = |source: Source| {
            let mine = blocked
                .iter()
                .filter(|block| block.0 == PieceSource::Swarm(source));
            mine.map(|block| block.1).max().unwrap_or(0)
        };
        let neighbours: Vec<Neighbour> = (0u32..)
            .zip(&swarm.addresses)
            .map(|(index, address)| {
                let key = PeerKey(index);
                let note = state.peer_pieces.iter().find(|holder| {
                    holder.address == *address
                        && holder.model == self.model
                        && holder.version == self.version
                });
                let is_lost = match note {
                    Some(note) => now_ms.saturating_sub(note.last_received_ms) >= PEER_SILENT_MS,
                    None => now_ms.saturating_sub(started_ms) >= PEER_AWAITED_MS,
                };
                Neighbour {
                    key,
                    have: note
                        .filter(|note| note.have.len() == have.len())
                        .map_or_else(|| HaveMap::empty(have.len()), |note| note.have.clone()),
                    queue: 0,
                    blocked_until_ms: blocked_until(Source::Peer(key)),
                    lost: is_lost && key != swarm.me,
                }
            })
            .collect();
        let fetches = next_fetches(&PlanInput {
            now_ms,
            progress_ms,
            me: swarm.me,
            homes: &swarm.homes,
            have: &held,
            in_flight: &planned,
            neighbours: &neighbours,
            // While entries live, they alone read the origin.
            origin_blocked_until_ms: if state.relay_entries().is_empty() {
                blocked_until(Source::Origin)
            } else {
                u64::MAX
            },
            settings: &PLAN,
            seed,
        });
        fetches
            .into_iter()
            .map(|fetch| PieceFetch {
                chunk: fetch.chunk,
                place: PieceSource::Swarm(fetch.source),
            })
            .collect()
    }
}
