use std::collections::BTreeMap;
use std::fmt;

use super::call_results::CallResults;
use super::call_results::KindResults;
use crate::cli::CliError;
use crate::standin::service::Execution;

const MIB: f64 = 1024.0 * 1024.0;

/// Number of failed checks that are printed one by one.
const MAX_SHOWN_FAILURES: usize = 5;

const MS_PER_S: f64 = 1000.0;

/// Results of the demonstration and the checks on them.
#[derive(Debug)]
pub struct Report {
    /// Number of hosts that the model was distributed to.
    pub hosts: u32,
    /// Size of the model, in bytes.
    pub size_bytes: u64,
    /// Time from the edits until every host served the model, in milliseconds.
    pub burst_ms: u64,
    /// Bytes of the model that the origin sent.
    pub origin_bytes: u64,
    /// Name of the host that was killed during the calls.
    pub stopped: String,
    /// Outcomes of the calls.
    pub results: CallResults,
    /// Number of sends that the entries repeated.
    pub retries: u64,
    /// Executions recorded in the ledgers of the services.
    pub executions: Vec<Execution>,
}

impl Report {
    /// Checks that every kind of call succeeded, that no answer was wrong and that no
    /// booking ran twice or contradicts its answer.
    ///
    /// # Errors
    ///
    /// [`CliError::Failed`] with the failed checks.
    pub fn run_checks(&self) -> Result<(), CliError> {
        let failures = self.failures();
        if failures.is_empty() {
            println!("Every check passed.");
            return Ok(());
        }
        let shown = failures.len().min(MAX_SHOWN_FAILURES);
        let mut reason = failures[..shown].join("\n");
        if failures.len() > shown {
            reason.push_str(&format!("\nand {} more", failures.len() - shown));
        }
        Err(CliError::Failed(reason))
    }

    /// One message for each failed check.
    fn failures(&self) -> Vec<String> {
        let mut failures = Vec::new();
        for kind in self.kinds() {
            failures.extend(kind.wrong.iter().cloned());
            if kind.correct == 0 {
                failures.push("one kind of call never got a correct answer".to_owned());
            }
        }
        let counts = self.booking_executions();
        for (nonce, count) in &counts {
            if *count > 1 {
                failures.push(format!("booking {nonce} was executed {count} times"));
            }
        }
        for nonce in &self.results.booked {
            if !counts.contains_key(nonce.as_str()) {
                failures.push(format!("booking {nonce} was answered but never executed"));
            }
        }
        for nonce in &self.results.not_run {
            if counts.contains_key(nonce.as_str()) {
                failures.push(format!(
                    "booking {nonce} was reported as not run but was executed"
                ));
            }
        }
        failures
    }

    /// Results of each kind of call.
    fn kinds(&self) -> [&KindResults; 3] {
        let results = &self.results;
        [&results.generate, &results.lookups, &results.bookings]
    }

    /// Number of executions beyond the first of each booking.
    fn repeated_bookings(&self) -> u32 {
        self.booking_executions()
            .values()
            .map(|count| count - 1)
            .sum()
    }

    /// Number of executions of each booking, by its idempotency key.
    fn booking_executions(&self) -> BTreeMap<&str, u32> {
        let mut counts = BTreeMap::new();
        for execution in self.executions.iter().filter(|e| !e.key.is_empty()) {
            *counts.entry(execution.key.as_str()).or_default() += 1;
        }
        counts
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let size_mib = self.size_bytes as f64 / MIB;
        let burst_s = self.burst_ms as f64 / MS_PER_S;
        let copies = self.origin_bytes as f64 / self.size_bytes as f64;
        let results = &self.results;
        writeln!(f)?;
        writeln!(
            f,
            "model      {size_mib:.0} MiB on {} hosts after {burst_s:.1} s",
            self.hosts
        )?;
        writeln!(f, "origin     {copies:.2} copies of the model read")?;
        writeln!(
            f,
            "stopped    {}, killed while calls were in progress",
            self.stopped
        )?;
        writeln!(f, "generate   {}", results.generate)?;
        writeln!(f, "lookups    {}", results.lookups)?;
        writeln!(f, "bookings   {}", results.bookings)?;
        writeln!(f, "retries    {} by the entries", self.retries)?;
        writeln!(
            f,
            "executions {}, of which {} repeated a booking",
            self.executions.len(),
            self.repeated_bookings()
        )
    }
}
