use std::fmt;

use super::NumberKey;
use super::PartitionPolicy;
use super::SettingsReader;
use super::Unit;

const SECTION: &str = "cluster";

/// Shortest accepted shared key, in characters.
const MIN_SHARED_KEY_CHARS: usize = 16;

const GOSSIP_MS: NumberKey = NumberKey {
    key: "gossip_ms",
    unit: Unit::Milliseconds,
    range: 50..=60_000,
    default: 1000,
};

const HOSTS_POLL_MS: NumberKey = NumberKey {
    key: "hosts_poll_ms",
    unit: Unit::Milliseconds,
    range: 50..=60_000,
    default: 2000,
};

/// Values of `partition_policy`.
const PARTITION_POLICIES: [(&str, PartitionPolicy); 2] = [
    ("serve", PartitionPolicy::Serve),
    ("refuse", PartitionPolicy::Refuse),
];

/// Settings common to all processes of a deployment.
#[derive(Clone)]
pub struct ClusterSettings {
    /// Key that requests between the processes carry; secret.
    pub shared_key: String,
    /// Time between two rounds of gossip; default 1000.
    pub gossip_ms: u64,
    /// Time between two fetches of the list of hosts; default 2000.
    pub hosts_poll_ms: u64,
    /// What a process does while it can't confirm its configuration; default `serve`.
    pub partition_policy: PartitionPolicy,
}

impl ClusterSettings {
    /// Creates settings with this shared key and the defaults.
    pub fn new(shared_key: impl Into<String>) -> Self {
        Self {
            shared_key: shared_key.into(),
            gossip_ms: GOSSIP_MS.default,
            hosts_poll_ms: HOSTS_POLL_MS.default,
            partition_policy: PartitionPolicy::default(),
        }
    }

    /// Reads all keys.
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        Self {
            shared_key: reader.secret(SECTION, "shared_key", MIN_SHARED_KEY_CHARS),
            gossip_ms: reader.number(SECTION, &GOSSIP_MS),
            hosts_poll_ms: reader.number(SECTION, &HOSTS_POLL_MS),
            partition_policy: reader
                .choice(
                    SECTION,
                    "partition_policy",
                    &PARTITION_POLICIES,
                    Some("serve"),
                )
                .unwrap_or_default(),
        }
    }
}

// Leaves the shared key out, so that it can't reach a log.
impl fmt::Debug for ClusterSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClusterSettings")
            .field("gossip_ms", &self.gossip_ms)
            .field("hosts_poll_ms", &self.hosts_poll_ms)
            .field("partition_policy", &self.partition_policy)
            .finish_non_exhaustive()
    }
}
