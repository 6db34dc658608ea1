use std::collections::BTreeMap;
use std::fmt;

use super::tally::KindTally;
use super::tally::Tally;
use crate::cli::CliError;
use crate::standin::service::Execution;

const MIB: f64 = 1024.0 * 1024.0;
/// Faults that are printed one by one.
const MAX_SHOWN_FAULTS: usize = 5;

const MS_PER_S: f64 = 1000.0;

/// What the demonstration showed.
#[derive(Debug)]
pub struct Report {
    /// Hosts that the model was brought to.
    pub hosts: u32,
    /// Size of the model.
    pub size_bytes: u64,
    /// Time until every host served it.
    pub burst_ms: u64,
    /// Bytes that the origin sent for it.
    pub origin_bytes: u64,
    /// Host that was stopped without notice.
    pub stopped: String,
    /// How the calls ended.
    pub tally: Tally,
    /// Calls that the entries sent again.
    pub retries: u64,
    /// What the services executed.
    pub executions: Vec<Execution>,
}

impl Report {
    /// Success, unless something happened that must never happen.
    pub fn verdict(&self) -> Result<(), CliError> {
        let faults = self.faults();
        if faults.is_empty() {
            println!("Every check passed.");
            return Ok(());
        }
        let shown = faults.len().min(MAX_SHOWN_FAULTS);
        let mut reason = faults[..shown].join("\n");
        if faults.len() > shown {
            reason.push_str(&format!("\nand {} more", faults.len() - shown));
        }
        Err(CliError::Failed(reason))
    }

    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for kind in self.kinds() {
            faults.extend(kind.wrong.iter().cloned());
            if kind.done == 0 {
                faults.push("a kind of calls was never answered".to_owned());
            }
        }
        let runs = self.runs();
        for (nonce, runs) in &runs {
            if *runs > 1 {
                faults.push(format!("booking {nonce} ran {runs} times"));
            }
        }
        for nonce in &self.tally.booked {
            if !runs.contains_key(nonce.as_str()) {
                faults.push(format!("booking {nonce} was answered and never ran"));
            }
        }
        for nonce in &self.tally.not_run {
            if runs.contains_key(nonce.as_str()) {
                faults.push(format!("booking {nonce} was said not to have run, and ran"));
            }
        }
        faults
    }

    fn kinds(&self) -> [&KindTally; 3] {
        let tally = &self.tally;
        [&tally.generate, &tally.lookups, &tally.bookings]
    }

    /// Executions of bookings that had run before.
    fn repeats(&self) -> u32 {
        self.runs().values().map(|runs| runs - 1).sum()
    }

    /// Executions of each booking.
    fn runs(&self) -> BTreeMap<&str, u32> {
        let mut runs = BTreeMap::new();
        for execution in self.executions.iter().filter(|e| !e.key.is_empty()) {
            *runs.entry(execution.key.as_str()).or_default() += 1;
        }
        runs
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let size_mib = self.size_bytes as f64 / MIB;
        let burst_s = self.burst_ms as f64 / MS_PER_S;
        let copies = self.origin_bytes as f64 / self.size_bytes as f64;
        let tally = &self.tally;
        writeln!(f)?;
        writeln!(
            f,
            "model      {size_mib:.0} MiB on {} hosts after {burst_s:.1} s",
            self.hosts
        )?;
        writeln!(f, "origin     {copies:.2} copies read")?;
        writeln!(
            f,
            "stopped    {} without notice, in the middle of the calls",
            self.stopped
        )?;
        writeln!(f, "generate   {}", tally.generate)?;
        writeln!(f, "lookups    {}", tally.lookups)?;
        writeln!(f, "bookings   {}", tally.bookings)?;
        writeln!(f, "retries    {} by the entries", self.retries)?;
        writeln!(
            f,
            "executions {}, of which {} repeated a booking",
            self.executions.len(),
            self.repeats()
        )
    }
}
