use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::document::Document;
use crate::document::ModelSection;
use crate::hosts::ConfigPosition;
use crate::hosts::Host;
use crate::hosts::HostRole;
use crate::hosts::HostStatus;
use crate::hosts::HostedVersion;
use crate::hosts::Load;
use crate::hosts::Roster;
use crate::hosts::VersionProgress;
use crate::weights::Digest;

/// State of all hosts and models as known to one entry.
#[derive(Debug, Serialize, Deserialize)]
pub struct StatusView {
    /// Name of the answering entry.
    pub answered_by: String,
    /// Whether the configuration of the answering entry is confirmed.
    pub ready: bool,
    /// Configuration in force on the answering entry.
    pub config: ConfigPosition,
    /// Names of the hosts whose configuration is older than `config`.
    pub behind: Vec<String>,
    /// Every model of the configuration.
    pub models: Vec<ModelView>,
    /// Every host known to the entry.
    pub hosts: Vec<HostView>,
}

/// Rollout state of one model.
#[derive(Debug, Serialize, Deserialize)]
pub struct ModelView {
    /// Name of the model.
    pub name: String,
    /// Configured version.
    pub version: String,
    /// Digest of the manifest of that version.
    pub manifest: Digest,
    /// Configured number of replicas.
    pub wanted: u32,
    /// Number of live replicas that serve this version.
    pub serving: u32,
    /// Number of live hosts that hold and have verified this version and do not serve it yet.
    pub verified: u32,
    /// Number of live hosts that are fetching this version.
    pub fetching: u32,
    /// Number of live replicas that serve another version.
    pub other_versions: u32,
    /// Live hosts on which the rollout of this version is held.
    pub held: Vec<HoldView>,
}

/// A host on which the rollout of a version is held, and the cause.
#[derive(Debug, Serialize, Deserialize)]
pub struct HoldView {
    /// Name of the host.
    pub host: String,
    /// Cause, as text.
    pub cause: String,
}

/// State of one host as known to the entry.
#[derive(Debug, Serialize, Deserialize)]
pub struct HostView {
    /// Name of the host.
    pub name: String,
    /// Role of its process.
    pub role: HostRole,
    /// Address of its process.
    pub address: SocketAddr,
    /// Region of the host.
    pub region: String,
    /// Failure domain of the host within its region.
    pub domain: String,
    /// Service that is reached through this endpoint; `None` for other hosts.
    pub service: Option<String>,
    /// Whether it is given new work: `usable`, or why not.
    pub standing: String,
    /// Time since the last heartbeat or report was received from it, in milliseconds;
    /// `None` before the first.
    pub silent_ms: Option<u64>,
    /// Offset of the next log record that it will apply.
    pub config_offset: Option<u64>,
    /// Load that it last reported.
    pub load: Load,
    /// Model versions on it, with their rollout state.
    pub versions: Vec<HostedVersion>,
}

impl StatusView {
    /// State as known to the entry `answered_by` at `now_ms`.
    pub fn new(
        answered_by: &str,
        ready: bool,
        config: ConfigPosition,
        document: &Document,
        roster: &Roster,
        now_ms: u64,
    ) -> Self {
        let live: Vec<&Host> = roster
            .usable(HostRole::Endpoint, now_ms)
            .map(|(_, host)| host)
            .collect();
        Self {
            answered_by: answered_by.to_owned(),
            ready,
            config,
            behind: hosts_behind(roster, config, now_ms),
            models: document
                .models()
                .into_iter()
                .map(|model| ModelView::new(model, &live))
                .collect(),
            hosts: roster
                .hosts()
                .map(|(_, host)| match host.name == answered_by {
                    true => HostView::for_answering_entry(host, config),
                    false => HostView::new(host, now_ms),
                })
                .collect(),
        }
    }
}

impl ModelView {
    fn new(model: ModelSection, live: &[&Host]) -> Self {
        let mut view = Self {
            name: model.name,
            version: model.version,
            manifest: model.manifest,
            wanted: model.replicas,
            serving: 0,
            verified: 0,
            fetching: 0,
            other_versions: 0,
            held: Vec::new(),
        };
        for host in live {
            for served in &host.served {
                view.count_version(&host.name, served);
            }
        }
        view
    }

    /// Counts a version on a live host, if it is one of this model.
    fn count_version(&mut self, host: &str, served: &HostedVersion) {
        if served.model != self.name {
            return;
        }
        if served.manifest != self.manifest {
            self.other_versions += u32::from(served.progress == VersionProgress::Serving);
            return;
        }
        match served.progress {
            VersionProgress::Serving => self.serving += 1,
            VersionProgress::Verified => self.verified += 1,
            VersionProgress::Fetching => self.fetching += 1,
            VersionProgress::Held => self.held.push(HoldView {
                host: host.to_owned(),
                cause: served.held.clone().unwrap_or_default(),
            }),
        }
    }
}

impl HostView {
    /// View of the answering entry, which sends no reports to itself.
    fn for_answering_entry(host: &Host, config: ConfigPosition) -> Self {
        Self {
            standing: host_status_name(HostStatus::Usable).to_owned(),
            silent_ms: Some(0),
            config_offset: Some(config.offset),
            ..Self::new(host, 0)
        }
    }

    fn new(host: &Host, now_ms: u64) -> Self {
        Self {
            name: host.name.clone(),
            role: host.role,
            address: host.address,
            region: host.region.clone(),
            domain: host.domain.clone(),
            service: host.service.clone(),
            standing: host_status_name(host.status(now_ms)).to_owned(),
            silent_ms: host.silent_ms(now_ms),
            config_offset: host.config_offset,
            load: host.load,
            versions: host.served.clone(),
        }
    }
}

/// Names of the reachable hosts whose configuration is older than that of this entry.
fn hosts_behind(roster: &Roster, config: ConfigPosition, now_ms: u64) -> Vec<String> {
    roster
        .hosts()
        .filter(|(_, host)| {
            matches!(
                host.status(now_ms),
                HostStatus::Usable | HostStatus::Leaving
            )
        })
        .filter(|(_, host)| {
            host.config_offset
                .is_some_and(|offset| offset < config.offset)
        })
        .map(|(_, host)| host.name.clone())
        .collect()
}

fn host_status_name(status: HostStatus) -> &'static str {
    match status {
        HostStatus::Usable => "usable",
        HostStatus::NeverReported => "unheard",
        HostStatus::Silent => "silent",
        HostStatus::Failed => "failed",
        HostStatus::Leaving => "leaving",
    }
}
