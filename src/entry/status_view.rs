use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::document::Document;
use crate::document::ModelSection;
use crate::hosts::ConfigMark;
use crate::hosts::Host;
use crate::hosts::HostRole;
use crate::hosts::Load;
use crate::hosts::Progress;
use crate::hosts::Roster;
use crate::hosts::Served;
use crate::hosts::Standing;
use crate::weights::Digest;

/// What one entry knows of the whole system.
#[derive(Debug, Serialize, Deserialize)]
pub struct StatusView {
    /// Name of the entry that answers.
    pub answered_by: String,
    /// Whether its configuration is confirmed.
    pub ready: bool,
    /// Configuration in force on it.
    pub config: ConfigMark,
    /// Hosts that are behind this configuration, by name.
    pub behind: Vec<String>,
    /// Every model of the configuration.
    pub models: Vec<ModelView>,
    /// Every host that the entry knows.
    pub hosts: Vec<HostView>,
}

/// How far one model has come.
#[derive(Debug, Serialize, Deserialize)]
pub struct ModelView {
    /// Name of the model.
    pub name: String,
    /// Version that the configuration asks for.
    pub version: String,
    /// Digest of its manifest.
    pub manifest: Digest,
    /// Replicas that the configuration asks for.
    pub wanted: u32,
    /// Live replicas that serve this version.
    pub serving: u32,
    /// Live hosts that hold all of it and do not serve it yet.
    pub verified: u32,
    /// Live hosts that fetch it.
    pub fetching: u32,
    /// Live replicas that still serve another version.
    pub other_versions: u32,
    /// Hosts that cannot proceed, and why.
    pub held: Vec<HoldView>,
}

/// Why a version cannot proceed on a host.
#[derive(Debug, Serialize, Deserialize)]
pub struct HoldView {
    /// Name of the host.
    pub host: String,
    /// Cause of the hold.
    pub cause: String,
}

/// What the entry knows of one host.
#[derive(Debug, Serialize, Deserialize)]
pub struct HostView {
    /// Name of the host.
    pub name: String,
    /// What runs on it.
    pub role: HostRole,
    /// Address of its process.
    pub address: SocketAddr,
    /// Region it stands in.
    pub region: String,
    /// Failure domain inside the region.
    pub domain: String,
    /// Plain service beside it.
    pub service: Option<String>,
    /// Whether it may get new work.
    pub standing: String,
    /// Time since it was last heard.
    pub silent_ms: Option<u64>,
    /// Next offset of the log that it wants.
    pub config_offset: Option<u64>,
    /// How busy it is.
    pub load: Load,
    /// Versions on it.
    pub versions: Vec<Served>,
}

impl StatusView {
    /// The view of an entry with `roster` and `document` at `now_ms`.
    pub fn new(
        answered_by: &str,
        ready: bool,
        config: ConfigMark,
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

    fn count_version(&mut self, host: &str, served: &Served) {
        if served.model != self.name {
            return;
        }
        if served.manifest != self.manifest {
            self.other_versions += u32::from(served.progress == Progress::Serving);
            return;
        }
        match served.progress {
            Progress::Serving => self.serving += 1,
            Progress::Verified => self.verified += 1,
            Progress::Fetching => self.fetching += 1,
            Progress::Held => self.held.push(HoldView {
                host: host.to_owned(),
                cause: served.held.clone().unwrap_or_default(),
            }),
        }
    }
}

impl HostView {
    /// The answering entry, which does not report to itself.
    fn for_answering_entry(host: &Host, config: ConfigMark) -> Self {
        Self {
            standing: standing_name(Standing::Usable).to_owned(),
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
            standing: standing_name(host.standing(now_ms)).to_owned(),
            silent_ms: host.silent_ms(now_ms),
            config_offset: host.config_offset,
            load: host.load,
            versions: host.served.clone(),
        }
    }
}

/// Hosts that are heard and have not folded as far as this entry.
fn hosts_behind(roster: &Roster, config: ConfigMark, now_ms: u64) -> Vec<String> {
    roster
        .hosts()
        .filter(|(_, host)| matches!(host.standing(now_ms), Standing::Usable | Standing::Leaving))
        .filter(|(_, host)| {
            host.config_offset
                .is_some_and(|offset| offset < config.offset)
        })
        .map(|(_, host)| host.name.clone())
        .collect()
}

fn standing_name(standing: Standing) -> &'static str {
    match standing {
        Standing::Usable => "usable",
        Standing::Unheard => "unheard",
        Standing::Silent => "silent",
        Standing::Failed => "failed",
        Standing::Leaving => "leaving",
    }
}
