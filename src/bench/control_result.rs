use std::fmt;

use serde::Serialize;

/// What a measurement of the configuration's way found.
#[derive(Debug, Clone, Serialize)]
pub struct ControlResult {
    /// Roles measured; all share one process of the bench.
    pub processes: usize,
    /// Entries among them.
    pub entries: usize,
    /// Endpoints among them.
    pub endpoints: usize,
    /// What went wrong.
    pub fault: &'static str,
    /// Changes made.
    pub changes: usize,
    /// Processes that lack the last change at the end.
    pub lacking_last_change: usize,
    /// Time from the log's reply to a change until a process has it in force.
    pub in_force_p50_ms: u64,
    /// The same, 99 in 100.
    pub in_force_p99_ms: u64,
    /// The same, the longest.
    pub in_force_max_ms: u64,
    /// Times measured: changes by processes.
    pub in_force_samples: u64,
    /// Times that an offset went back on a process.
    pub reverts: u64,
    /// Records appended to the log.
    pub appends_per_s: f64,
    /// Reads that the log answered.
    pub log_reads_per_s: f64,
    /// Control traffic of the busiest process, both ways.
    pub control_bytes_per_s_max: f64,
    /// Control traffic of an entry on average.
    pub entry_control_bytes_per_s: f64,
    /// Control traffic of an endpoint on average.
    pub endpoint_control_bytes_per_s: f64,
    /// Processor time of the busiest process in percent of a core.
    pub cpu_percent_max: f64,
    /// Processor time of an entry on average.
    pub entry_cpu_percent: f64,
    /// Processor time of an endpoint on average.
    pub endpoint_cpu_percent: f64,
    /// Resident memory of the bench, divided by its roles.
    pub rss_mib_max: f64,
    /// Length of the measurement.
    pub elapsed_ms: u64,
}

impl ControlResult {
    /// Whether every process has every change and none went back.
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
