use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::calls::SuspectRecord;
use crate::document::follow::ConfigStatus;
use crate::hosts::HostRole;
use crate::hosts::StateTag;
use crate::weights::Digest;

/// Position up to which a process has applied the configuration log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConfigPosition {
    /// Offset of the next record to apply.
    pub offset: u64,
    /// Digest of the state before that record.
    pub digest: Digest,
}

/// Progress of a model version on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionProgress {
    /// Chunks are being fetched.
    Fetching,
    /// Every chunk is present and the digest of the complete weights matches.
    Verified,
    /// The engine serves the version.
    Serving,
    /// The version cannot proceed; the cause is in the log lines of the host and in the output
    /// of `status`.
    Held,
}

/// Model version on a host and its progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostedVersion {
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Digest of the manifest.
    pub manifest: Digest,
    /// Progress of the version.
    pub progress: VersionProgress,
    /// Share of the chunks that are present, in percent.
    pub present_percent: u8,
    /// Why the version cannot proceed, if it is held.
    pub held: Option<String>,
}

/// Load of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests running on the engine or service.
    pub running: u32,
    /// Requests waiting in the fair queue.
    pub queued: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// Full report of a process to the entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the host.
    pub name: String,
    /// Address of the process.
    pub address: SocketAddr,
    /// Role of the process.
    pub role: HostRole,
    /// Region of the host.
    pub region: String,
    /// Failure domain within the region.
    pub domain: String,
    /// Plain service that the endpoint serves, if it serves no model.
    pub service: Option<String>,
    /// Incarnation of the process; grows with each start on this host.
    pub incarnation: u64,
    /// Whether the process is draining and will stop.
    pub leaving: bool,
    /// Position up to which the process has applied the configuration log.
    pub config: ConfigPosition,
    /// Load of the process.
    pub load: Load,
    /// Model versions on the host, served already or not.
    pub served: Vec<HostedVersion>,
    /// Epoch to put into new permits for the process.
    pub permit_epoch: u64,
    /// Records of requests that were running when endpoints crashed.
    pub suspects: Vec<SuspectRecord>,
}

impl Report {
    /// Tag of the fields that rarely change: name, address, incarnation and versions.
    ///
    /// The percentage of chunks present counts in steps of ten.
    pub fn state_tag(&self) -> StateTag {
        let served: Vec<_> = self
            .served
            .iter()
            .map(|version| {
                let present_tenths = version.present_percent / 10;
                (
                    version.manifest,
                    version.progress,
                    present_tenths,
                    &version.held,
                )
            })
            .collect();
        let state = (&self.name, self.address, self.incarnation, served);
        let encoded = rmp_serde::to_vec(&state).expect("texts and numbers always encode");
        StateTag::of_bytes(&encoded)
    }
}

/// Answer of an entry to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportAnswer {
    /// Position up to which the entry has applied the configuration log.
    pub config: ConfigPosition,
    /// Records of requests that were running when endpoints crashed.
    pub suspects: Vec<SuspectRecord>,
    /// Whether the entry counts towards the majority that confirms a configuration.
    pub is_voter: bool,
    /// Time since the entry's position was known to be the end of the log, in ms.
    pub confirmed_age_ms: Option<u64>,
}

impl ReportAnswer {
    /// Returns the part of the answer about the entry's configuration.
    pub fn config_status(&self) -> ConfigStatus {
        ConfigStatus {
            head: self.config.offset,
            digest: self.config.digest,
            is_voter: self.is_voter,
            confirmed_age_ms: self.confirmed_age_ms,
        }
    }
}
