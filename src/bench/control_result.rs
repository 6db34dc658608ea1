use std::fmt;

use serde::Serialize;

/// Result of a [`crate::bench::ControlBench`].
#[derive(Debug, Clone, Serialize)]
pub struct ControlResult {
    /// Number of hosts measured; all run in the bench process.
    pub processes: usize,
    /// Number of entries among them.
    pub entries: usize,
    /// Number of endpoints among them.
    pub endpoints: usize,
    /// Name of the injected fault.
    pub fault: &'static str,
    /// Number of configuration changes.
    pub changes: usize,
    /// Number of processes that lack the last change at the end.
    pub lacking_last_change: usize,
    /// Median time from the log's reply to an append until a process has the change in force.
    pub in_force_p50_ms: u64,
    /// 99th percentile of the same time.
    pub in_force_p99_ms: u64,
    /// Maximum of the same time.
    pub in_force_max_ms: u64,
    /// Number of times measured, one for each change and process.
    pub in_force_samples: u64,
    /// Number of times that the log offset of a process went back.
    pub reverts: u64,
    /// Records appended to the log per second.
    pub appends_per_s: f64,
    /// Reads answered by the log per second.
    pub log_reads_per_s: f64,
    /// Control traffic of the busiest process, both directions.
    pub control_bytes_per_s_max: f64,
    /// Mean control traffic of an entry, both directions.
    pub entry_control_bytes_per_s: f64,
    /// Mean control traffic of an endpoint, both directions.
    pub endpoint_control_bytes_per_s: f64,
    /// CPU time of the busiest process in percent of a core.
    pub cpu_percent_max: f64,
    /// Mean CPU time of an entry in percent of a core.
    pub entry_cpu_percent: f64,
    /// Mean CPU time of an endpoint in percent of a core.
    pub endpoint_cpu_percent: f64,
    /// Larger resident memory of the bench process at the start and the end, divided
    /// by the number of hosts.
    pub rss_mib_max: f64,
    /// Duration of the measurement.
    pub elapsed_ms: u64,
}

impl ControlResult {
    /// Whether every process has the last change and no log offset went back.
    pub fn is_successful(&self) -> bool {
        self.lacking_last_change == 0 && self.reverts == 0
    }
}

impl fmt::Display for ControlResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} changes to {} entries and {} endpoints, fault: {}",
            self.changes, self.entries, self.endpoints, self.fault
        )?;
        writeln!(
            f,
            "  in force after    {} ms (p50), {} ms (p99), {} ms (longest), {} reverts",
            self.in_force_p50_ms, self.in_force_p99_ms, self.in_force_max_ms, self.reverts
        )?;
        writeln!(
            f,
            "  lacking the last  {} processes",
            self.lacking_last_change
        )?;
        writeln!(
            f,
            "  the log           {:.1} appends/s, {:.1} reads/s",
            self.appends_per_s, self.log_reads_per_s
        )?;
        writeln!(
            f,
            "  control traffic   {:.0} B/s an entry, {:.0} B/s an endpoint",
            self.entry_control_bytes_per_s, self.endpoint_control_bytes_per_s
        )?;
        writeln!(
            f,
            "  processor         {:.2} % of a core an entry, {:.2} % an endpoint",
            self.entry_cpu_percent, self.endpoint_cpu_percent
        )?;
        write!(f, "  memory            {:.1} MiB a role", self.rss_mib_max)
    }
}
