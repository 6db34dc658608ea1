use std::net::SocketAddr;

use crate::fleet::Catalog;
use crate::fleet::RecordVersion;

/// Lifecycle state that a replica reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaState {
    /// Accepts new requests.
    Ready,
    /// Drains before it stops; gets no new requests.
    Leaving,
}

/// Registration of a replica, as it published it itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// Identifier; the replica rejects requests meant for another one.
    pub id: String,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain of its host.
    pub failure_domain: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Lifecycle state.
    pub state: ReplicaState,
    /// Time for which it stays slow after its start, in ms.
    pub cold_remaining_ms: u64,
    /// Counter that rises with every heartbeat and every order to load weights.
    pub heartbeat_no: u64,
    /// Start of this incarnation, in ms of Unix time.
    pub born_unix_ms: Option<u64>,
    /// Models with the version of their loaded weights.
    pub weights: Vec<(String, u64)>,
}

impl ReplicaRecord {
    /// Whether it names a replica to use: `catalog`, the configuration in force, has its service.
    /// Before a configuration is known, every record does.
    ///
    /// Other records may come from any writer, and say nothing of the replicas in use. The
    /// configuration may name their service later.
    pub fn is_in_use(&self, catalog: Option<&Catalog>) -> bool {
        catalog.is_none_or(|catalog| catalog.service(&self.service).is_some())
    }

    /// Place of the record among those of its replica. A replica that starts again under its id
    /// counts from the beginning.
    pub fn version(&self) -> RecordVersion {
        (self.born_unix_ms.unwrap_or(0), self.heartbeat_no)
    }

    /// Whether another writer than this replica, which is in use, has written `newer` under its
    /// id: a replica never changes its service.
    pub fn is_overwritten_by(&self, newer: &Self, catalog: Option<&Catalog>) -> bool {
        self.is_in_use(catalog) && newer.service != self.service && !newer.is_in_use(catalog)
    }
}
