use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::calls::SuspectRecord;
use crate::document::follow::PeerStatus;
use crate::hosts::HostRole;
use crate::hosts::StateTag;
use crate::weights::Digest;

/// How far a process has folded the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConfigPosition {
    /// Next offset of the log the process wants.
    pub offset: u64,
    /// Digest of the document there.
    pub digest: Digest,
}

/// How far a version has come on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionProgress {
    /// Chunks are on their way.
    Fetching,
    /// Every chunk is present and the whole digest matches.
    Verified,
    /// The engine answers with it.
    Serving,
    /// It cannot proceed; the cause is in the log and in `status`.
    Held,
}

/// One version on a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostedVersion {
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Digest of the manifest.
    pub manifest: Digest,
    /// How far it has come.
    pub progress: VersionProgress,
    /// Share of the chunks present.
    pub present_percent: u8,
    /// Why it is held.
    pub held: Option<String>,
}

/// How busy an endpoint is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests running on the engine or service.
    pub running: u32,
    /// Requests waiting in the fair queue.
    pub queued: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// All that a process says of itself to the entries it reports to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the host.
    pub name: String,
    /// Address of the process.
    pub address: SocketAddr,
    /// What runs on the host.
    pub role: HostRole,
    /// Region it stands in.
    pub region: String,
    /// Failure domain inside the region.
    pub domain: String,
    /// Plain service beside it.
    pub service: Option<String>,
    /// Grows with each start of the process on this host.
    pub incarnation: u64,
    /// Whether it finishes its work and goes.
    pub leaving: bool,
    /// Configuration in force on it.
    pub config: ConfigPosition,
    /// How busy it is.
    pub load: Load,
    /// Versions on it.
    pub served: Vec<HostedVersion>,
    /// Epoch that new permits for it should name.
    pub permit_epoch: u64,
    /// Requests that ran when endpoints crashed.
    pub suspects: Vec<SuspectRecord>,
}

impl Report {
    /// Tag of all that changes seldom: not load, offset, epoch and suspects.
    pub fn state_tag(&self) -> StateTag {
        let served: Vec<_> = self
            .served
            .iter()
            .map(|served| {
                let tenths = served.present_percent / 10;
                (served.manifest, served.progress, tenths, &served.held)
            })
            .collect();
        let state = (&self.name, self.address, self.incarnation, served);
        let encoded = rmp_serde::to_vec(&state).expect("texts and numbers always encode");
        StateTag::of(&encoded)
    }
}

/// What an entry answers to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportAnswer {
    /// Configuration in force on the entry.
    pub config: ConfigPosition,
    /// Requests that ran when endpoints crashed.
    pub suspects: Vec<SuspectRecord>,
    /// Whether the entry is past its own bootstrap.
    pub is_voter: bool,
    /// Time since its configuration was known to be the end of the log.
    pub confirmed_age_ms: Option<u64>,
}

impl ReportAnswer {
    /// How far the entry has followed the log.
    pub fn peer_status(&self) -> PeerStatus {
        PeerStatus {
            head: self.config.offset,
            digest: self.config.digest,
            is_voter: self.is_voter,
            confirmed_age_ms: self.confirmed_age_ms,
        }
    }
}
