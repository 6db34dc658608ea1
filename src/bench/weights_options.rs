use std::path::PathBuf;

use clap::Args;
use clap::ValueEnum;
use clap::builder::RangedU64ValueParser;

use super::BoundInput;
use super::lower_bound_ms;
use crate::weights::mix64;

/// Copies of the version that the origin's link carries in the allowed time.
const ORIGIN_COPIES: u64 = 4;

/// Copies of the version that a host's link carries each way in the allowed time.
const HOST_COPIES: u64 = 2;

/// Rate of a link between regions, in percent of a host's link.
const CROSSING_PERCENT: u64 = 40;

/// Share of hosts that are missing from a host's list when the lists disagree.
const UNLISTED_PERCENT: u64 = 5;

/// Timeout of a run of the product's scheme, in multiples of the lower bound.
const TIMEOUT_BOUNDS: u64 = 8;

/// Timeout of a run of a baseline, in multiples of the lower bound; baselines are
/// much slower than the bound.
const BASELINE_TIMEOUT_BOUNDS: u64 = 400;

/// Simple distribution scheme to compare with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Baseline {
    /// Every host reads the complete version from the origin.
    Origin,
    /// Every host reads the complete version from the host before it.
    Chain,
    /// Every region reads the version from the origin's region.
    Star,
}

/// Measurement of how fast a new version reaches all hosts.
#[derive(Debug, Clone, Args)]
pub struct WeightsBench {
    /// Number of hosts that fetch the version.
    #[arg(long, default_value_t = 16, value_parser = RangedU64ValueParser::<usize>::new().range(1..=1000))]
    pub hosts: usize,
    /// Number of regions of the hosts.
    #[arg(long, default_value_t = 1, value_parser = RangedU64ValueParser::<usize>::new().range(1..=16))]
    pub regions: usize,
    /// Share of the hosts killed during the transfer; above 0, the hosts' lists
    /// also disagree and the origin runs at half its rate.
    #[arg(long, value_name = "PERCENT", default_value_t = 0, value_parser = RangedU64ValueParser::<u64>::new().range(0..=90))]
    pub kill_percent: u64,
    /// Scheme to measure instead of the product's.
    #[arg(long)]
    pub baseline: Option<Baseline>,
    /// Let both directions of a host's link share its rate.
    #[arg(long)]
    pub shared_link: bool,
    /// Size of the version in bytes.
    #[arg(long = "size-bytes", value_name = "BYTES", default_value_t = 4 << 20, value_parser = RangedU64ValueParser::<u64>::new().range(1..=1 << 30))]
    pub bytes: u64,
    /// Size of a chunk in bytes.
    #[arg(long, value_name = "BYTES", default_value_t = 16 << 10, value_parser = RangedU64ValueParser::<u32>::new().range(1..=1 << 26))]
    pub chunk_bytes: u32,
    /// Time in milliseconds in which the origin's link carries 4 copies and a
    /// host's link 2 copies each way.
    #[arg(long, value_name = "MS", default_value_t = 20_000, value_parser = RangedU64ValueParser::<u64>::new().range(100..=3_600_000))]
    pub allowed_ms: u64,
    /// Number of fetches in flight at each host.
    #[arg(long, default_value_t = 4, value_parser = RangedU64ValueParser::<usize>::new().range(1..=64))]
    pub fetches: usize,
    /// Number of peers that each host probes for updates.
    #[arg(long, default_value_t = 8)]
    pub neighbours: usize,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Print the progress of the transfer to standard error.
    #[arg(long)]
    pub trace: bool,
    /// Print one JSON object.
    #[arg(long)]
    pub json: bool,
    /// Draw the number of serving replicas over time.
    #[arg(long, value_name = "FILE.svg")]
    pub plot: Option<PathBuf>,
}

impl WeightsBench {
    /// Rate of a host's link each way.
    pub fn host_bytes_per_s(&self) -> u64 {
        self.bytes * HOST_COPIES * 1000 / self.allowed_ms
    }

    /// Rate of the origin's link.
    pub fn origin_bytes_per_s(&self) -> u64 {
        let full_bytes_per_s = self.bytes * ORIGIN_COPIES * 1000 / self.allowed_ms;
        match self.kill_percent {
            0 => full_bytes_per_s,
            _ => full_bytes_per_s / 2,
        }
    }

    /// Rate of a link between regions each way.
    pub fn crossing_bytes_per_s(&self) -> u64 {
        self.host_bytes_per_s() * CROSSING_PERCENT / 100
    }

    /// Lower bound of the time in which any scheme can bring the version to all hosts.
    pub fn lower_bound_ms(&self) -> u64 {
        lower_bound_ms(&BoundInput {
            bytes: self.bytes,
            hosts: self.hosts as u64,
            regions: self.regions as u64,
            origin_bytes_per_s: self.origin_bytes_per_s(),
            host_bytes_per_s: self.host_bytes_per_s(),
            shared_link: self.shared_link,
            crossing_bytes_per_s: self.crossing_bytes_per_s(),
        })
    }

    /// Name of host `index`.
    pub(super) fn host_name(index: usize) -> String {
        format!("host-{index}")
    }

    /// Names of the regions; the origin is in the first one.
    pub(super) fn region_names(&self) -> Vec<String> {
        (0..self.regions.max(1))
            .map(|index| format!("region-{index}"))
            .collect()
    }

    /// Whether host `index` is killed during the transfer.
    pub(super) fn will_be_killed(&self, index: usize) -> bool {
        let killed_hosts = self.hosts * usize::try_from(self.kill_percent).unwrap_or(0) / 100;
        // Orders the hosts pseudorandomly by the seed.
        let rank = |host: usize| (mix64(self.seed ^ host as u64), host);
        (0..self.hosts)
            .filter(|other| rank(*other) < rank(index))
            .count()
            < killed_hosts
    }

    /// Whether host `other` is missing from the list of host `index`.
    pub(super) fn is_unlisted(&self, index: usize, other: usize) -> bool {
        let hash = mix64(self.seed ^ (index as u64) << 32 ^ other as u64);
        self.kill_percent > 0 && hash % 100 < UNLISTED_PERCENT
    }

    /// Largest number of fetches in flight at a host from the origin and other regions.
    pub(super) fn max_imports(&self) -> usize {
        match self.baseline {
            Some(Baseline::Origin | Baseline::Chain) => self.fetches,
            _ => 2,
        }
    }

    /// Largest number of fetches in flight at a host from one peer.
    pub(super) fn max_fetches_per_peer(&self) -> usize {
        match self.baseline {
            Some(Baseline::Chain) => self.fetches,
            _ => 1,
        }
    }

    /// Time after which the run ends even if hosts do not serve yet.
    pub(super) fn timeout_ms(&self) -> u64 {
        let bounds = match self.baseline {
            None => TIMEOUT_BOUNDS,
            Some(_) => BASELINE_TIMEOUT_BOUNDS,
        };
        self.lower_bound_ms() * bounds
    }
}
