use super::NumberKey;
use super::SettingsReader;
use super::Unit;

/// Section of these settings, which a plain service must not have.
pub(super) const SECTION: &str = "weights";

const MIB: u64 = 1024 * 1024;
const GIB: u64 = 1024 * MIB;

const BUDGET_BYTES: NumberKey = NumberKey {
    key: "budget_bytes",
    unit: Unit::Bytes,
    range: MIB..=1024 * GIB,
    default: 2 * GIB,
};

const UP_BYTES_PER_S: NumberKey = NumberKey {
    key: "up_bytes_per_s",
    unit: Unit::BytesPerSecond,
    range: 1024..=100 * GIB,
    default: 128 * MIB,
};

const DOWN_BYTES_PER_S: NumberKey = NumberKey {
    key: "down_bytes_per_s",
    unit: Unit::BytesPerSecond,
    range: 1024..=100 * GIB,
    default: 128 * MIB,
};

const LIVE_SHARE_PERCENT: NumberKey = NumberKey {
    key: "live_share_percent",
    unit: Unit::Percent,
    range: 0..=90,
    default: 20,
};

const NEIGHBOURS: NumberKey = NumberKey {
    key: "neighbours",
    unit: Unit::Count,
    range: 1..=64,
    default: 6,
};

/// Limits of storing and transferring weights on an endpoint.
#[derive(Debug, Clone)]
pub struct WeightsSettings {
    /// Memory for weights; default 2 GiB.
    pub budget_bytes: u64,
    /// Capacity of the link to other hosts; default 128 MiB/s.
    pub up_bytes_per_s: u64,
    /// Capacity of the link from other hosts; default 128 MiB/s.
    pub down_bytes_per_s: u64,
    /// Share of each link that is reserved for live requests; default 20.
    pub live_share_percent: u64,
    /// Most peers from which chunks are requested at a time; default 6.
    pub neighbours: u64,
}

impl WeightsSettings {
    /// Reads all keys.
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        Self {
            budget_bytes: reader.number(SECTION, &BUDGET_BYTES),
            up_bytes_per_s: reader.number(SECTION, &UP_BYTES_PER_S),
            down_bytes_per_s: reader.number(SECTION, &DOWN_BYTES_PER_S),
            live_share_percent: reader.number(SECTION, &LIVE_SHARE_PERCENT),
            neighbours: reader.number(SECTION, &NEIGHBOURS),
        }
    }
}

impl Default for WeightsSettings {
    fn default() -> Self {
        Self {
            budget_bytes: BUDGET_BYTES.default,
            up_bytes_per_s: UP_BYTES_PER_S.default,
            down_bytes_per_s: DOWN_BYTES_PER_S.default,
            live_share_percent: LIVE_SHARE_PERCENT.default,
            neighbours: NEIGHBOURS.default,
        }
    }
}
