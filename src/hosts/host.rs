use std::net::SocketAddr;

use crate::hosts::HostRecord;
use crate::hosts::HostRole;
use crate::hosts::HostedVersion;
use crate::hosts::ListedState;
use crate::hosts::Load;
use crate::hosts::Report;
use crate::hosts::StateTag;

/// Time without a message from a host after which it gets no new work, in ms.
pub const SILENCE_MS: u64 = 2500;

/// Whether a host may get new work, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostStatus {
    /// The last message from the host is recent, and the host takes work.
    Usable,
    /// The platform lists the host, but no message from it has arrived yet.
    NeverReported,
    /// No message from the host has arrived for [`SILENCE_MS`].
    Silent,
    /// A call to the host failed after its last message.
    Failed,
    /// The host is draining and will stop.
    Leaving,
}

/// What this process knows about another host.
#[derive(Debug, Clone)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Address of the process on the host.
    pub address: SocketAddr,
    /// Role of the process.
    pub role: HostRole,
    /// Region of the host.
    pub region: String,
    /// Failure domain within the region.
    pub domain: String,
    /// Plain service that the endpoint serves, if it serves no model.
    pub service: Option<String>,
    /// Latest incarnation that reported; 0 before the first report.
    pub incarnation: u64,
    /// Load in the last message.
    pub load: Load,
    /// Model versions in the last report, served already or not.
    pub served: Vec<HostedVersion>,
    /// Epoch to put into new permits for the host.
    pub permit_epoch: u64,
    /// Configuration offset in the last message; `None` before the first report.
    pub config_offset: Option<u64>,
    /// Tag of the last report.
    pub(super) state_tag: Option<StateTag>,
    /// Time at which the host sent its last heartbeat, on its own monotonic clock, in ms.
    pub(super) heartbeat_sent_ms: u64,
    /// Whether the platform lists the host.
    pub(super) is_listed: bool,
    /// Whether the platform lists the host as leaving.
    pub(super) is_listed_leaving: bool,
    /// Whether the host itself reported that it is leaving.
    pub(super) has_reported_leaving: bool,
    /// Time of the last message from the host, in ms.
    pub(super) last_received_ms: Option<u64>,
    /// Time of the last failed call to the host, in ms.
    pub(super) last_failed_ms: Option<u64>,
    /// Time since which the platform does not list the host, in ms; meaningless while it does.
    pub(super) unlisted_since_ms: u64,
}

impl Host {
    pub(super) fn from_record(record: &HostRecord) -> Self {
        Self {
            name: record.name.clone(),
            address: record.address,
            role: record.role,
            region: record.region.clone(),
            domain: record.domain.clone(),
            service: record.service.clone(),
            incarnation: 0,
            load: Load::default(),
            served: Vec::new(),
            permit_epoch: 0,
            config_offset: None,
            state_tag: None,
            heartbeat_sent_ms: 0,
            is_listed: true,
            is_listed_leaving: record.state == ListedState::Leaving,
            has_reported_leaving: false,
            last_received_ms: None,
            last_failed_ms: None,
            unlisted_since_ms: 0,
        }
    }

    pub(super) fn from_report(report: &Report, now_ms: u64) -> Self {
        Self {
            name: report.name.clone(),
            address: report.address,
            role: report.role,
            region: report.region.clone(),
            domain: report.domain.clone(),
            service: report.service.clone(),
            incarnation: report.incarnation,
            load: report.load,
            served: report.served.clone(),
            permit_epoch: report.permit_epoch,
            config_offset: Some(report.config.offset),
            state_tag: Some(report.state_tag()),
            heartbeat_sent_ms: 0,
            is_listed: false,
            is_listed_leaving: false,
            has_reported_leaving: report.leaving,
            last_received_ms: Some(now_ms),
            last_failed_ms: None,
            unlisted_since_ms: now_ms,
        }
    }

    /// Whether the host may get new work at `now_ms`, and if not, why.
    pub fn status(&self, now_ms: u64) -> HostStatus {
        if self.is_listed_leaving || self.has_reported_leaving {
            return HostStatus::Leaving;
        }
        let Some(last_received_ms) = self.last_received_ms else {
            return match self.last_failed_ms {
                Some(_) => HostStatus::Failed,
                None => HostStatus::NeverReported,
            };
        };
        if self
            .last_failed_ms
            .is_some_and(|last_failed_ms| last_failed_ms >= last_received_ms)
        {
            return HostStatus::Failed;
        }
        if now_ms.saturating_sub(last_received_ms) > SILENCE_MS {
            return HostStatus::Silent;
        }
        HostStatus::Usable
    }

    /// Time at which the host sent its last heartbeat, on its own monotonic clock, in ms.
    pub fn heartbeat_sent_ms(&self) -> u64 {
        self.heartbeat_sent_ms
    }

    /// Time since the last message from the host, in ms; `None` before the first.
    pub fn silent_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_received_ms
            .map(|last_received_ms| now_ms.saturating_sub(last_received_ms))
    }
}
