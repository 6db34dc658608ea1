use std::time::Instant;

use super::WeightsBench;
use super::weights_fleet::WeightsFleet;

/// Number of samples in the time of the lower bound.
const SAMPLES_PER_BOUND: u64 = 20;

/// Largest number of missing chunks that are printed.
const MAX_SHOWN_CHUNKS: usize = 8;

/// Periodically prints how much of the links' capacity the transfer uses.
#[derive(Debug)]
pub(super) struct WeightsTrace {
    interval_ms: u64,
    /// Time of the next sample.
    next_ms: u64,
    /// Number of chunks that all hosts held at the previous sample.
    previous_chunks: u64,
    /// Number of chunks that the hosts' links can carry in an interval.
    chunks_per_interval: f64,
    hosts: usize,
}

impl WeightsTrace {
    /// Computes the sampling interval and the links' capacity.
    pub(super) fn new(bench: &WeightsBench) -> Self {
        let interval_ms = (bench.lower_bound_ms() / SAMPLES_PER_BOUND).max(1);
        let chunk_ms = f64::from(bench.chunk_bytes) * 1000.0 / bench.host_bytes_per_s() as f64;
        Self {
            interval_ms,
            next_ms: interval_ms,
            previous_chunks: 0,
            chunks_per_interval: bench.hosts as f64 * interval_ms as f64 / chunk_ms,
            hosts: bench.hosts,
        }
    }

    /// Prints a line when the next sample is due.
    pub(super) fn sample(&mut self, fleet: &WeightsFleet, started: Instant) {
        let now_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        if now_ms < self.next_ms {
            return;
        }
        let held = fleet.hosts.iter().map(|host| {
            let version = host.share.all_versions().into_iter().next();
            version.and_then(|version| version.peer_status())
        });
        let statuses: Vec<_> = held.flatten().collect();
        let chunks: u64 = statuses
            .iter()
            .map(|status| u64::from(status.have.held_count()))
            .sum();
        let idle = statuses.iter().filter(|status| status.queue == 0).count();
        let complete = statuses
            .iter()
            .filter(|status| status.have.is_complete())
            .count();
        let used = (chunks - self.previous_chunks) as f64 / self.chunks_per_interval;
        eprintln!(
            "{now_ms} ms: {:.0} % of the links in use, {idle} of {} hosts send nothing, {complete} complete",
            used * 100.0,
            self.hosts
        );
        if let Some(status) = statuses
            .iter()
            .max_by_key(|status| status.have.held_count())
        {
            let missing: Vec<u32> = (0..status.have.chunk_count())
                .filter(|chunk| !status.have.contains(*chunk))
                .collect();
            if !missing.is_empty() && missing.len() <= MAX_SHOWN_CHUNKS {
                eprintln!("the most complete host lacks chunks {missing:?}");
            }
        }
        self.previous_chunks = chunks;
        self.next_ms += self.interval_ms;
    }
}
