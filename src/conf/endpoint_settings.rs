use std::path::Path;

use super::BackendSettings;
use super::ClusterSettings;
use super::NumberKey;
use super::PlatformSettings;
use super::ProcessSettings;
use super::SettingsFaults;
use super::SettingsReader;
use super::Unit;
use super::WeightsSettings;
use super::weights_settings;
use crate::hosts::HostRole;

const SECTION: &str = "endpoint";

const SLOTS: NumberKey = NumberKey {
    key: "slots",
    unit: Unit::Count,
    range: 1..=4096,
    default: 8,
};

const QUEUE_LIMIT: NumberKey = NumberKey {
    key: "queue_limit",
    unit: Unit::Count,
    range: 1..=65_536,
    default: 64,
};

const DRAIN_MS: NumberKey = NumberKey {
    key: "drain_ms",
    unit: Unit::Milliseconds,
    range: 100..=3_600_000,
    default: 30_000,
};

/// Settings of an endpoint process.
#[derive(Debug, Clone)]
pub struct EndpointSettings {
    /// Identity, location and logging of the process.
    pub process: ProcessSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Settings common to all processes.
    pub cluster: ClusterSettings,
    /// Engine or service that the endpoint sends requests to.
    pub backend: BackendSettings,
    /// Most requests that run at once; default 8.
    pub slots: u64,
    /// Most requests that wait for a slot; default 64.
    pub queue_limit: u64,
    /// Longest time that a graceful stop takes; default 30000.
    pub drain_ms: u64,
    /// Limits of storing and transferring weights.
    pub weights: WeightsSettings,
}

impl EndpointSettings {
    /// Creates settings with the defaults.
    pub fn new(
        process: ProcessSettings,
        platform: PlatformSettings,
        cluster: ClusterSettings,
        backend: BackendSettings,
    ) -> Self {
        Self {
            process,
            platform,
            cluster,
            backend,
            slots: SLOTS.default,
            queue_limit: QUEUE_LIMIT.default,
            drain_ms: DRAIN_MS.default,
            weights: WeightsSettings::default(),
        }
    }

    /// Reads and validates `path`.
    ///
    /// # Errors
    ///
    /// Returns every fault of the file.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, SettingsFaults> {
        let mut reader = SettingsReader::open(path)?;
        let settings = Self::read(&mut reader);
        reader.finish()?;
        Ok(settings)
    }

    /// Reads all keys, and reports those that don't fit together as faults.
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        let process = ProcessSettings::read(reader, HostRole::Endpoint);
        let backend = BackendSettings::read(reader, process.listen);
        let settings = Self {
            process,
            platform: PlatformSettings::read(reader),
            cluster: ClusterSettings::read(reader),
            backend,
            slots: reader.number(SECTION, &SLOTS),
            queue_limit: reader.number(SECTION, &QUEUE_LIMIT),
            drain_ms: reader.number(SECTION, &DRAIN_MS),
            weights: WeightsSettings::read(reader),
        };
        settings.check_weights_section(reader);
        settings.check_queue_limit(reader);
        settings
    }

    /// Checks that there is no weights section beside a plain service, which has none.
    fn check_weights_section(&self, reader: &mut SettingsReader) {
        let service = matches!(self.backend, BackendSettings::Service { .. });
        if !service || !reader.has_section(weights_settings::SECTION) {
            return;
        }
        let problem = "a plain service holds no weights";
        let allowed = "no such section beside [backend] kind = service";
        reader.add_fault(weights_settings::SECTION, "", None, problem, allowed);
    }

    /// Checks that the queue is not shorter than the slots: it would refuse requests while
    /// slots are free.
    fn check_queue_limit(&self, reader: &mut SettingsReader) {
        if self.queue_limit >= self.slots {
            return;
        }
        let value = self.queue_limit.to_string();
        let problem = "the queue is shorter than the slots";
        let allowed = format!("at least slots = {}", self.slots);
        reader.add_fault(SECTION, QUEUE_LIMIT.key, Some(&value), problem, &allowed);
    }
}
