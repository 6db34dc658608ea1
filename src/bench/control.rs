use std::io;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use actix_web::http::Method;
use serde_json::Value;
use serde_json::json;

use crate::bench::ControlBench;
use crate::bench::ControlFault;
use crate::bench::ControlResult;
use crate::bench::control_fleet::ControlFleet;
use crate::bench::control_monitor::ControlMonitor;
use crate::clients::LogClient;
use crate::document::Edit;
use crate::document::LogRecord;
use crate::links::HttpClient;
use crate::links::LinkError;

/// Time for all processes to discover each other before the first change.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Longest wait for the last change to be in force everywhere; twice the target.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(40);

/// Delay added to every log call by [`ControlFault::LogSlow`].
const LOG_DELAY_MS: u64 = 2000;

/// Duration of a log outage, a pause of processes or a cut between regions.
const FAULT_DURATION: Duration = Duration::from_secs(6);

/// Delay before a failed append is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Interval of the checks whether the last change is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of the request that sets faults of the log stand-in.
const FAULT_TIMEOUT_MS: u64 = 5000;

impl ControlBench {
    /// Starts the fleet, appends the changes and measures when each is in force.
    ///
    /// # Errors
    ///
    /// The I/O error when the processes cannot be started or the log's counters cannot be read.
    pub async fn run(&self) -> io::Result<ControlResult> {
        let fleet = ControlFleet::start(self.entries, self.endpoints).await?;
        sleep(SETTLE_TIME).await;
        let mut monitor = ControlMonitor::start(&fleet);
        let before = fleet.log_stats().await?;
        let started = Instant::now();
        let offsets = self.append_changes(&fleet, &monitor).await;
        let missing = self.wait_in_force(&fleet, offsets.last().copied()).await;
        let elapsed = started.elapsed();
        let after = fleet.log_stats().await?;
        let result = monitor.finish(self, &offsets, missing, elapsed, &before, &after);
        fleet.stop().await;
        Ok(result)
    }

    /// Appends every change and returns the offsets. The fault is injected after a third
    /// of the changes, but lost replies affect every second append from the start.
    async fn append_changes(&self, fleet: &ControlFleet, monitor: &ControlMonitor) -> Vec<u64> {
        let mut offsets = Vec::new();
        for number in 0..self.changes {
            if number == self.changes / 3 {
                self.inject_fault(fleet).await;
            }
            if self.fault == ControlFault::LostReply && number % 2 == 0 {
                set_log_faults(fleet, &json!({"lose_replies": 1})).await;
            }
            let offset = append_edit(fleet, number).await;
            monitor.record_change(offset);
            offsets.push(offset);
            sleep(Duration::from_millis(self.interval_ms)).await;
        }
        offsets
    }

    /// Injects the fault; an outage of the log is over on return.
    async fn inject_fault(&self, fleet: &ControlFleet) {
        match self.fault {
            ControlFault::None | ControlFault::LostReply => {}
            ControlFault::LogSlow => {
                set_log_faults(fleet, &json!({"delay_ms": LOG_DELAY_MS})).await
            }
            ControlFault::LogDown => {
                set_log_faults(fleet, &json!({"down": true})).await;
                sleep(FAULT_DURATION).await;
                set_log_faults(fleet, &json!({"down": false})).await;
            }
            ControlFault::PauseThird => fleet.pause_third(FAULT_DURATION),
            ControlFault::RegionCut => fleet.cut_regions(FAULT_DURATION),
        }
    }

    /// Waits until the change at offset `last` is in force everywhere or the wait
    /// times out, and returns the number of processes that still lack it.
    async fn wait_in_force(&self, fleet: &ControlFleet, last: Option<u64>) -> usize {
        let deadline = Instant::now() + IN_FORCE_TIMEOUT;
        loop {
            let missing = last.map_or(0, |offset| fleet.count_lacking(offset));
            if missing == 0 || Instant::now() >= deadline {
                return missing;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Appends one edit and returns its offset; retries with the same edit id until
/// the log replies.
async fn append_edit(fleet: &ControlFleet, number: u64) -> u64 {
    let edit = Edit {
        edit_id: format!("bench {number}"),
        team: "bench".to_owned(),
        section: format!("service s{number}"),
        base_revision: 0,
        body: Some("idempotent = lookup\ntimeout_ms = 1000\n".to_owned()),
    };
    let record = LogRecord::Edit(edit).encode();
    let log = LogClient::new(&fleet.log_url(), "config");
    loop {
        match log.append(record.clone()).await {
            Ok(offset) => return offset,
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

/// Sets the faults of the log stand-in.
async fn set_log_faults(fleet: &ControlFleet, faults: &Value) {
    let url = format!("{}/fault", fleet.log_url());
    let set: Result<Value, LinkError> = HttpClient::to_platform()
        .send_json(Method::POST, &url, faults, FAULT_TIMEOUT_MS)
        .await;
    set.expect("the log stand-in of this process takes faults");
}
