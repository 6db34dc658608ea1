use std::fmt;

use super::NumberKey;
use super::PartitionPolicy;
use super::SettingsReader;
use super::Unit;

const SECTION: &str = "cluster";

/// Shortest shared key that is accepted.
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

const PARTITION_POLICIES: [(&str, PartitionPolicy); 2] = [
    ("serve", PartitionPolicy::Serve),
    ("refuse", PartitionPolicy::Refuse),
];

/// What all processes of one deployment share.
#[derive(Clone)]
pub struct ClusterSettings {
    /// Key that calls between the processes carry.
    pub shared_key: String,
    /// Time between two rounds of gossip; default 1000.
    pub gossip_ms: u64,
    /// Time between two reads of the list of hosts; default 2000.
    pub hosts_poll_ms: u64,
    /// What a process does that is cut off from the others; default `serve`.
    pub partition_policy: PartitionPolicy,
}

impl ClusterSettings {
    /// Settings with the defaults beside the shared key.
    pub fn new(shared_key: impl Into<String>) -> Self {
        Self {
            shared_key: shared_key.into(),
            gossip_ms: GOSSIP_MS.default,
            hosts_poll_ms: HOSTS_POLL_MS.default,
            partition_policy: PartitionPolicy::default(),
        }
    }

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

// The shared key must not reach a log.
impl fmt::Debug for ClusterSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClusterSettings")
            .field("gossip_ms", &self.gossip_ms)
            .field("hosts_poll_ms", &self.hosts_poll_ms)
            .field("partition_policy", &self.partition_policy)
            .finish_non_exhaustive()
    }
}
