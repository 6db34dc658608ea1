use std::path::Path;

use super::ClusterSettings;
use super::NumberKey;
use super::PlatformSettings;
use super::ProcessSettings;
use super::SettingsFaults;
use super::SettingsReader;
use super::TeamSettings;
use super::Unit;
use crate::hosts::HostRole;

const SECTION: &str = "entry";

const ADDRESS_LIFETIME_MS: NumberKey = NumberKey {
    key: "address_lifetime_ms",
    unit: Unit::Milliseconds,
    range: 100..=600_000,
    default: 10_000,
};

const MAX_BODY_BYTES: NumberKey = NumberKey {
    key: "max_body_bytes",
    unit: Unit::Bytes,
    range: 1024..=64 * 1024 * 1024,
    default: 1024 * 1024,
};

const REQUEST_MEMORY_BYTES: NumberKey = NumberKey {
    key: "request_memory_bytes",
    unit: Unit::Bytes,
    range: 1024 * 1024..=64 * 1024 * 1024 * 1024,
    default: 512 * 1024 * 1024,
};

/// Bodies of the largest size for which there has to be memory.
const MIN_LARGEST_BODIES: u64 = 5;

// The clock of the HTTP server advances in steps of 500 ms, so a timeout shorter than
// 1000 ms would also abort requests that were sent without delay.
const SLOW_CLIENT_TIMEOUT_MS: NumberKey = NumberKey {
    key: "slow_client_timeout_ms",
    unit: Unit::Milliseconds,
    range: 1000..=60_000,
    default: 5000,
};

const SILENCE_MS: NumberKey = NumberKey {
    key: "silence_ms",
    unit: Unit::Milliseconds,
    range: 100..=60_000,
    default: 3000,
};

const DRAIN_MS: NumberKey = NumberKey {
    key: "drain_ms",
    unit: Unit::Milliseconds,
    range: 100..=3_600_000,
    default: 30_000,
};

const RETRY_BUDGET_PERCENT: NumberKey = NumberKey {
    key: "retry_budget_percent",
    unit: Unit::Percent,
    range: 0..=100,
    default: 10,
};

const PERMITS_PER_ANSWER: NumberKey = NumberKey {
    key: "permits_per_answer",
    unit: Unit::Count,
    range: 1..=64,
    default: 4,
};

const LOG_RETENTION_MS: NumberKey = NumberKey {
    key: "log_retention_ms",
    unit: Unit::Milliseconds,
    range: 1000..=31_536_000_000,
    default: 86_400_000,
};

/// Checkpoints due per retention: the last rank publishes one after a quarter of it, and
/// a round of gossip must fit into that time.
const CHECKPOINTS_PER_RETENTION: u64 = 4;

/// Settings of an entry process.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Identity, location and logging of the process.
    pub process: ProcessSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Settings common to all processes.
    pub cluster: ClusterSettings,
    /// Time that a client may use the addresses of entries it got; default 10000.
    pub address_lifetime_ms: u64,
    /// Largest request body; default 1 MiB.
    pub max_body_bytes: u64,
    /// Memory for the bodies of all requests, with their copies; default 512 MiB.
    pub request_memory_bytes: u64,
    /// Time a client has to send a head, and again for a body; default 5000.
    pub slow_client_timeout_ms: u64,
    /// Time without data after which a connection is abandoned; default 3000.
    pub silence_ms: u64,
    /// Longest time that a graceful stop takes; default 30000.
    pub drain_ms: u64,
    /// Retries allowed, in percent of the requests; default 10.
    pub retry_budget_percent: u64,
    /// Permits issued with one answer; default 4.
    pub permits_per_answer: u64,
    /// Time that the platform's log keeps a record; default one day.
    pub log_retention_ms: u64,
    /// Teams that may write the configuration.
    pub teams: Vec<TeamSettings>,
}

impl EntrySettings {
    /// Creates settings with the defaults and without teams.
    pub fn new(
        process: ProcessSettings,
        platform: PlatformSettings,
        cluster: ClusterSettings,
    ) -> Self {
        Self {
            process,
            platform,
            cluster,
            address_lifetime_ms: ADDRESS_LIFETIME_MS.default,
            max_body_bytes: MAX_BODY_BYTES.default,
            request_memory_bytes: REQUEST_MEMORY_BYTES.default,
            slow_client_timeout_ms: SLOW_CLIENT_TIMEOUT_MS.default,
            silence_ms: SILENCE_MS.default,
            drain_ms: DRAIN_MS.default,
            retry_budget_percent: RETRY_BUDGET_PERCENT.default,
            permits_per_answer: PERMITS_PER_ANSWER.default,
            log_retention_ms: LOG_RETENTION_MS.default,
            teams: Vec::new(),
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
        let settings = Self {
            process: ProcessSettings::read(reader, HostRole::Entry),
            platform: PlatformSettings::read(reader),
            cluster: ClusterSettings::read(reader),
            address_lifetime_ms: reader.number(SECTION, &ADDRESS_LIFETIME_MS),
            max_body_bytes: reader.number(SECTION, &MAX_BODY_BYTES),
            request_memory_bytes: reader.number(SECTION, &REQUEST_MEMORY_BYTES),
            slow_client_timeout_ms: reader.number(SECTION, &SLOW_CLIENT_TIMEOUT_MS),
            silence_ms: reader.number(SECTION, &SILENCE_MS),
            drain_ms: reader.number(SECTION, &DRAIN_MS),
            retry_budget_percent: reader.number(SECTION, &RETRY_BUDGET_PERCENT),
            permits_per_answer: reader.number(SECTION, &PERMITS_PER_ANSWER),
            log_retention_ms: reader.number(SECTION, &LOG_RETENTION_MS),
            teams: TeamSettings::read_all(reader),
        };
        settings.check_request_memory(reader);
        settings.check_drain_ms(reader);
        settings.check_log_retention_ms(reader);
        settings
    }

    /// Checks that a request of the largest size is served.
    fn check_request_memory(&self, reader: &mut SettingsReader) {
        let min_bytes = MIN_LARGEST_BODIES * self.max_body_bytes;
        if self.request_memory_bytes >= min_bytes {
            return;
        }
        let value = self.request_memory_bytes.to_string();
        let problem = "there is no memory for a body of the largest size";
        let allowed = format!("at least {MIN_LARGEST_BODIES} x max_body_bytes = {min_bytes}");
        let key = REQUEST_MEMORY_BYTES.key;
        reader.add_fault(SECTION, key, Some(&value), problem, &allowed);
    }

    /// Checks that a stopping entry serves until its address has expired at all clients.
    fn check_drain_ms(&self, reader: &mut SettingsReader) {
        if self.drain_ms > self.address_lifetime_ms {
            return;
        }
        let value = self.drain_ms.to_string();
        let problem = "the drain ends before callers stop using the address";
        let allowed = format!(
            "more than address_lifetime_ms = {}",
            self.address_lifetime_ms
        );
        reader.add_fault(SECTION, DRAIN_MS.key, Some(&value), problem, &allowed);
    }

    /// Checks that a checkpoint can reach all processes before the records it covers are
    /// trimmed.
    fn check_log_retention_ms(&self, reader: &mut SettingsReader) {
        let min_retention_ms = self.cluster.gossip_ms * CHECKPOINTS_PER_RETENTION;
        if self.log_retention_ms >= min_retention_ms {
            return;
        }
        let value = self.log_retention_ms.to_string();
        let problem = "records are trimmed before a checkpoint can spread";
        let allowed =
            format!("at least {CHECKPOINTS_PER_RETENTION} x gossip_ms = {min_retention_ms}");
        reader.add_fault(
            SECTION,
            LOG_RETENTION_MS.key,
            Some(&value),
            problem,
            &allowed,
        );
    }
}
