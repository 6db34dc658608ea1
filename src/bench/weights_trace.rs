use std::time::Instant;

use super::WeightsBench;
use super::weights_fleet::Fleet;

/// Samples in one bound.
const SAMPLES_PER_BOUND: u64 = 20;

/// Missing chunks that are worth naming.
const SHOWN_CHUNKS: usize = 8;

/// Prints how much of the links' capacity the transfer uses.
#[derive(Debug)]
pub(super) struct WeightsTrace {
    step_ms: u64,
    next_ms: u64,
    before_chunks: u64,
    chunks_per_step: f64,
    hosts: usize,
}

impl WeightsTrace {
    pub(super) fn new(bench: &WeightsBench) -> Self {
        let step_ms = (bench.bound_ms() / SAMPLES_PER_BOUND).max(1);
        let chunk_ms = f64::from(bench.chunk_bytes) * 1000.0 / bench.host_bytes_per_s() as f64;
        Self {
            step_ms,
            next_ms: step_ms,
            before_chunks: 0,
            chunks_per_step: bench.hosts as f64 * step_ms as f64 / chunk_ms,
            hosts: bench.hosts,
        }
    }

    /// Prints a line when the next sample is due.
    pub(super) fn sample(&mut self, fleet: &Fleet, started: Instant) {
        let now_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        if now_ms < self.next_ms {
            return;
        }
        let held = fleet.hosts.iter().map(|host| {
            let version = host.share.all_versions().into_iter().next();
            version.and_then(|version| version.peer_status())
        });
        let notes: Vec<_> = held.flatten().collect();
        let chunks: u64 = notes
            .iter()
            .map(|note| u64::from(note.have.held_count()))
            .sum();
        let idle = notes.iter().filter(|note| note.queue == 0).count();
        let complete = notes.iter().filter(|note| note.have.is_complete()).count();
        let used = (chunks - self.before_chunks) as f64 / self.chunks_per_step;
        eprintln!(
            "{now_ms} ms: {:.0} % of the links in use, {idle} of {} hosts send nothing, {complete} complete",
            used * 100.0,
            self.hosts
        );
        if let Some(note) = notes.iter().max_by_key(|note| note.have.held_count()) {
            let missing: Vec<u32> = (0..note.have.chunk_count())
                .filter(|chunk| !note.have.contains(*chunk))
                .collect();
            if !missing.is_empty() && missing.len() <= SHOWN_CHUNKS {
                eprintln!("the best host lacks {missing:?}");
            }
        }
        self.before_chunks = chunks;
        self.next_ms += self.step_ms;
    }
}
