use std::fs;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

use crate::bench::ControlBench;
use crate::bench::ControlResult;
use crate::bench::control_fleet::ControlFleet;
use crate::node::Node;
use crate::standin::log::LogStats;

/// Interval at which the heads of all processes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Upper bound of the histogram; longer times are recorded as this one.
const MAX_IN_FORCE_MS: u64 = 600_000;

/// Length of a clock tick in `/proc`, fixed by the kernel's interface.
const CPU_TICK_MS: f64 = 10.0;

/// Bytes in a MiB.
const MIB: f64 = 1024.0 * 1024.0;

/// Offset of each change and the time at which its append was confirmed.
type Changes = Arc<Mutex<Vec<(u64, Instant)>>>;

/// Polls the log head of every process and measures resource usage until the run ends.
#[derive(Debug)]
pub(super) struct ControlMonitor {
    changes: Changes,
    ended: Arc<AtomicBool>,
    poller: Option<JoinHandle<HeadObservations>>,
    hosts: Vec<HostUsage>,
    /// Resident memory of the bench process at the start.
    rss_before_bytes: u64,
}

/// Counters of a process at the start of the run.
#[derive(Debug)]
struct HostUsage {
    node: Arc<Node>,
    threads: Vec<u32>,
    control_bytes: u64,
    cpu_ticks: u64,
}

/// Results of polling the heads.
#[derive(Debug)]
struct HeadObservations {
    /// Time from the confirmed append of a change until a process has it in force.
    in_force_ms: Histogram<u64>,
    /// Number of times that the head of a process went back.
    reverts: u64,
}

impl ControlMonitor {
    /// Starts polling the processes of `fleet`.
    pub(super) fn start(fleet: &ControlFleet) -> Self {
        let hosts: Vec<HostUsage> = fleet
            .hosts
            .iter()
            .map(|host| HostUsage {
                node: Arc::clone(&host.node),
                threads: host.threads.clone(),
                control_bytes: host.node.control_bytes(),
                cpu_ticks: cpu_ticks(&host.threads),
            })
            .collect();
        let nodes: Vec<Arc<Node>> = hosts.iter().map(|host| Arc::clone(&host.node)).collect();
        let changes = Changes::default();
        let ended = Arc::new(AtomicBool::new(false));
        let poller = {
            let changes = Arc::clone(&changes);
            let ended = Arc::clone(&ended);
            thread::spawn(move || poll_heads(&nodes, &changes, &ended))
        };
        Self {
            changes,
            ended,
            poller: Some(poller),
            hosts,
            rss_before_bytes: rss_bytes(),
        }
    }

    /// Records that the log has just confirmed a change at `offset`.
    pub(super) fn record_change(&self, offset: u64) {
        let mut changes = self
            .changes
            .lock()
            .expect("no holder of the changes panics");
        changes.push((offset, Instant::now()));
    }

    /// Stops polling and computes the result; `before` and `after` are the log's
    /// counters at both ends of `elapsed`, and `lacking` is the number of processes
    /// without the last change.
    pub(super) fn finish(
        &mut self,
        bench: &ControlBench,
        offsets: &[u64],
        lacking: usize,
        elapsed: Duration,
        before: &LogStats,
        after: &LogStats,
    ) -> ControlResult {
        self.ended.store(true, Ordering::Release);
        let poller = self.poller.take().expect("a monitor is finished once");
        let observations = poller.join().expect("the poller thread does not panic");
        let elapsed_s = elapsed.as_secs_f64();
        let per_second = |bytes: u64| bytes as f64 / elapsed_s;
        let control_bytes = |host: &HostUsage| host.node.control_bytes() - host.control_bytes;
        let used_cpu_ticks = |host: &HostUsage| cpu_ticks(&host.threads) - host.cpu_ticks;
        let max_of =
            |measure: &dyn Fn(&HostUsage) -> u64| self.hosts.iter().map(measure).max().unwrap_or(0);
        let (entries, endpoints) = self.hosts.split_at(bench.entries.min(self.hosts.len()));
        let mean_of = |hosts: &[HostUsage], measure: &dyn Fn(&HostUsage) -> u64| {
            hosts.iter().map(measure).sum::<u64>() as f64 / hosts.len().max(1) as f64
        };
        let percent = |ticks: f64| ticks * CPU_TICK_MS / elapsed.as_millis() as f64 * 100.0;
        ControlResult {
            processes: self.hosts.len(),
            entries: bench.entries,
            endpoints: bench.endpoints,
            fault: bench.fault.name(),
            changes: offsets.len(),
            lacking_last_change: lacking,
            in_force_p50_ms: observations.in_force_ms.value_at_quantile(0.50),
            in_force_p99_ms: observations.in_force_ms.value_at_quantile(0.99),
            in_force_max_ms: observations.in_force_ms.max(),
            in_force_samples: observations.in_force_ms.len(),
            reverts: observations.reverts,
            appends_per_s: per_second(after.appends - before.appends),
            log_reads_per_s: per_second(after.reads - before.reads),
            control_bytes_per_s_max: per_second(max_of(&control_bytes)),
            entry_control_bytes_per_s: mean_of(entries, &control_bytes) / elapsed_s,
            endpoint_control_bytes_per_s: mean_of(endpoints, &control_bytes) / elapsed_s,
            cpu_percent_max: percent(max_of(&used_cpu_ticks) as f64),
            entry_cpu_percent: percent(mean_of(entries, &used_cpu_ticks)),
            endpoint_cpu_percent: percent(mean_of(endpoints, &used_cpu_ticks)),
            rss_mib_max: rss_bytes().max(self.rss_before_bytes) as f64
                / MIB
                / self.hosts.len().max(1) as f64,
            elapsed_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// Polls the heads of all processes until `ended` is set.
fn poll_heads(nodes: &[Arc<Node>], changes: &Changes, ended: &AtomicBool) -> HeadObservations {
    let mut observations = HeadObservations {
        in_force_ms: Histogram::new_with_bounds(1, MAX_IN_FORCE_MS, 3)
            .expect("the bounds and three digits are valid"),
        reverts: 0,
    };
    let mut heads = vec![0; nodes.len()];
    // Index of the first change that each process does not yet have in force.
    let mut next_change = vec![0; nodes.len()];
    while !ended.load(Ordering::Acquire) {
        let changes = changes
            .lock()
            .expect("no holder of the changes panics")
            .clone();
        for (index, node) in nodes.iter().enumerate() {
            let head = node.follower().fold().head();
            observations.reverts += u64::from(head < heads[index]);
            heads[index] = head;
            // Changes are recorded in the order of their offsets.
            while let Some((offset, appended_at)) = changes.get(next_change[index])
                && head > *offset
            {
                let took_ms = u64::try_from(appended_at.elapsed().as_millis()).unwrap_or(u64::MAX);
                observations.in_force_ms.saturating_record(took_ms);
                next_change[index] += 1;
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
    observations
}

/// CPU time of `threads` of this process in clock ticks.
fn cpu_ticks(threads: &[u32]) -> u64 {
    threads
        .iter()
        .filter_map(|thread| thread_ticks(*thread))
        .sum()
}

/// User and system time of a thread in clock ticks; `None` when it has ended.
fn thread_ticks(thread: u32) -> Option<u64> {
    let stat = fs::read_to_string(format!("/proc/self/task/{thread}/stat")).ok()?;
    // The thread name is in parentheses and may contain spaces.
    let fields = stat.rsplit_once(')')?.1;
    let mut fields = fields.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

/// Resident memory of this process; 0 when the kernel does not report it.
fn rss_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}
