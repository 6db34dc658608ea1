use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::calls::SuspectRecord;
use crate::fleet::EntryHeartbeat;
use crate::fleet::LoadReport;
use crate::weights::ChunkBitmap;

/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Have message: the pieces of a version of weights that a host holds, as it reports
/// them to other hosts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeldPieces {
    /// Address of the host's endpoint process.
    pub address: SocketAddr,
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
    /// Pieces that are staged and whose digests were verified.
    pub have: ChunkBitmap,
}

/// Notice of an entry that it knows a later configuration than the store, which has come
/// back from an older copy.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeptConfig {
    /// Address of the entry for internal calls.
    pub internal: SocketAddr,
    /// Version of the configuration.
    pub version: u64,
}

/// Notice that a replica has said in an answer that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReplica {
    /// Identifier of the replica.
    pub id: String,
    /// Start of its incarnation, in Unix ms.
    pub born_unix_ms: Option<u64>,
}

/// Notice of requests that are suspected of crashes, or no longer are.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SuspectNotice {
    /// Name of the sender's host.
    pub name: String,
    /// All records of the requests of which one has changed.
    pub records: Vec<SuspectRecord>,
}

/// A UDP message between entry and endpoint processes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Datagram {
    /// Heartbeat of an entry.
    Beat(EntryHeartbeat),
    /// Load of an engine, sent by its endpoint process.
    Load(LoadReport),
    /// Pieces of weights that a host holds, sent between endpoint processes.
    Have(HeldPieces),
    /// Configuration that the store has lost, sent between entries.
    Kept(KeptConfig),
    /// Replica that is leaving, sent between entries and to its endpoint process.
    Leaving(LeavingReplica),
    /// Requests that are suspected of crashes, sent between entries.
    Suspects(SuspectNotice),
}

impl Datagram {
    /// Encodes the message as MessagePack.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a datagram holds only plain data")
    }
}

/// Sends a datagram to each target. A lost one is not sent again: the next replaces it.
pub(super) fn send_to_all(socket: &UdpSocket, datagram: &[u8], targets: &[SocketAddr]) {
    for target in targets {
        if let Err(error) = socket.try_send_to(datagram, *target) {
            log::debug!("cannot send a datagram to {target}: {error}");
        }
    }
}

/// Calls `handle` for each datagram that can be decoded, with the sender's address.
pub async fn for_each_datagram(socket: &UdpSocket, mut handle: impl FnMut(Datagram, SocketAddr)) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("cannot receive a datagram: {error}");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        match rmp_serde::from_slice(&buffer[..len]) {
            Ok(datagram) => handle(datagram, from),
            Err(error) => log::debug!("cannot decode a datagram from {from}: {error}"),
        }
    }
}
