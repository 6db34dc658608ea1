use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::calls::CompletedRuns;
use crate::calls::CrashId;
use crate::calls::RunCauses;
use crate::calls::SuspectRecord;
use crate::calls::SuspectStatus;
use crate::calls::SuspectTable;
use crate::conf::ClusterSettings;
use crate::conf::PlatformSettings;
use crate::conf::ProcessSettings;
use crate::document::Document;
use crate::document::follow::ConfigAnswer;
use crate::document::follow::Follower;
use crate::hosts::ConfigPosition;
use crate::hosts::Heartbeat;
use crate::hosts::HeartbeatAnswer;
use crate::hosts::HostRole;
use crate::hosts::HostedVersion;
use crate::hosts::Load;
use crate::hosts::NameTag;
use crate::hosts::Report;
use crate::hosts::ReportAnswer;
use crate::hosts::Roster;
use crate::hosts::StateTag;
use crate::links::HttpClient;
use crate::links::LinkError;
use crate::links::SimulatedPartition;
use crate::node::ConfigAdmission;
use crate::observe::CounterKind;
use crate::observe::Metrics;

/// Estimated size of the HTTP head of a request or answer between two processes, in bytes.
const HTTP_HEADER_BYTES: usize = 200;

/// Size of the IP and UDP headers of a datagram, in bytes.
const IP_UDP_HEADER_BYTES: usize = 28;

/// Time for which a request stays suspect after an endpoint crashed while running it, in ms.
const SUSPECT_WINDOW_MS: u64 = 600_000;

/// Largest number of suspect records; a crash adds one for each request that was running.
const MAX_SUSPECT_RECORDS: usize = 1024;

/// Part of the reported state that changes while the process runs.
#[derive(Debug, Default)]
pub struct OwnState {
    /// Load of the process.
    pub load: Load,
    /// Model versions on the host.
    pub served: Vec<HostedVersion>,
    /// Epoch to put into new permits for the process.
    pub permit_epoch: u64,
}

/// State common to all parts of one process.
#[derive(Debug)]
pub struct Node {
    process: ProcessSettings,
    platform: PlatformSettings,
    cluster: ClusterSettings,
    service: Option<String>,
    incarnation: u64,
    started: Instant,
    metrics: Arc<Metrics>,
    http: HttpClient,
    simulated_partition: Arc<SimulatedPartition>,
    roster: Mutex<Roster>,
    follower: Mutex<Follower>,
    own_state: Mutex<OwnState>,
    suspects: Mutex<SuspectTable>,
    /// Parts of prompts that were in requests which ran to an end.
    completed_parts: Mutex<CompletedRuns>,
    leaving: AtomicBool,
    control_bytes: AtomicU64,
}

impl Node {
    /// Creates a new incarnation with an empty roster and configuration.
    pub fn new(
        process: ProcessSettings,
        platform: PlatformSettings,
        cluster: ClusterSettings,
        service: Option<String>,
    ) -> Self {
        let simulated_partition = Arc::new(SimulatedPartition::default());
        let http = HttpClient::to_processes(cluster.shared_key.clone())
            .with_simulated_partition(Arc::clone(&simulated_partition));
        Self {
            process,
            platform,
            cluster,
            service,
            incarnation: unix_us(),
            started: Instant::now(),
            metrics: Arc::new(Metrics::new()),
            http,
            simulated_partition,
            roster: Mutex::new(Roster::new()),
            follower: Mutex::new(Follower::new(0)),
            own_state: Mutex::default(),
            suspects: Mutex::new(SuspectTable::new(SUSPECT_WINDOW_MS, MAX_SUSPECT_RECORDS)),
            completed_parts: Mutex::default(),
            leaving: AtomicBool::new(false),
            control_bytes: AtomicU64::new(0),
        }
    }

    /// Returns the settings of this process.
    pub fn process(&self) -> &ProcessSettings {
        &self.process
    }

    /// Returns the settings of the platform.
    pub fn platform(&self) -> &PlatformSettings {
        &self.platform
    }

    /// Returns the settings common to all processes of the cluster.
    pub fn cluster(&self) -> &ClusterSettings {
        &self.cluster
    }

    /// Returns the plain service that the endpoint serves, if it serves no model.
    pub fn service(&self) -> Option<&str> {
        self.service.as_deref()
    }

    /// Returns the name of the host.
    pub fn name(&self) -> &str {
        &self.process.name
    }

    /// Returns the incarnation, which grows with each start of the process on this host.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the monotonic time since the start of the process, in ms.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the metrics of the process.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Returns the HTTP client for other processes.
    pub fn http(&self) -> &HttpClient {
        &self.http
    }

    /// Returns the simulated partition: the addresses that a benchmark cuts this process off from.
    pub fn simulated_partition(&self) -> &Arc<SimulatedPartition> {
        &self.simulated_partition
    }

    /// Sends a request to another process and counts the bytes as control traffic.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] when no valid answer arrived within `timeout_ms`.
    pub async fn send_request<A: DeserializeOwned>(
        &self,
        url: &str,
        message: &impl Serialize,
        timeout_ms: u64,
    ) -> Result<A, LinkError> {
        let malformed = |error: String| LinkError::Malformed(error);
        let body =
            rmp_serde::to_vec_named(message).map_err(|error| malformed(error.to_string()))?;
        self.count_control_message("sent", body.len());
        let answer = self.http.post_rmp(url, body, timeout_ms).await?;
        self.count_control_message("received", answer.len());
        rmp_serde::from_slice(&answer).map_err(|error| malformed(error.to_string()))
    }

    /// Counts an HTTP message of control traffic with a body of `body_bytes`.
    pub fn count_control_message(&self, direction: &'static str, body_bytes: usize) {
        self.count_control_bytes(direction, body_bytes + HTTP_HEADER_BYTES);
    }

    /// Counts a datagram of control traffic with a body of `body_bytes`.
    pub fn count_datagram(&self, direction: &'static str, body_bytes: usize) {
        self.count_control_bytes(direction, body_bytes + IP_UDP_HEADER_BYTES);
    }

    fn count_control_bytes(&self, direction: &'static str, bytes: usize) {
        let bytes = bytes as u64;
        self.metrics
            .add(CounterKind::ControlBytes, bytes, "direction", direction);
        self.control_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns the control traffic since the start in both directions, headers included, in bytes.
    pub fn control_bytes(&self) -> u64 {
        self.control_bytes.load(Ordering::Relaxed)
    }

    /// Locks the roster of known hosts.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().expect("no holder of the roster panics")
    }

    /// Locks the follower, which holds the configuration.
    pub fn follower(&self) -> MutexGuard<'_, Follower> {
        self.follower
            .lock()
            .expect("no holder of the follower panics")
    }

    /// Locks the changing part of the reported state.
    pub fn own_state(&self) -> MutexGuard<'_, OwnState> {
        self.own_state
            .lock()
            .expect("no holder of the own state panics")
    }

    /// Locks the table of requests that were running when endpoints crashed.
    pub fn suspects(&self) -> MutexGuard<'_, SuspectTable> {
        self.suspects
            .lock()
            .expect("no holder of the suspects panics")
    }

    /// How a run is to be treated after the crashes of its request and of the parts of its
    /// prompt.
    pub fn run_status(&self, causes: &RunCauses) -> SuspectStatus {
        let now_ms = self.now_ms();
        self.suspects()
            .run_status(causes, &self.completed_parts(), now_ms)
    }

    /// Records a run that was sent at `sent_ms` and ended by a crash.
    pub fn record_crashed_run(&self, causes: &RunCauses, crash: &CrashId, sent_ms: u64) {
        let now_ms = self.now_ms();
        let run_ms = now_ms.saturating_sub(sent_ms);
        let mut suspects = self.suspects();
        let completed_parts = self.completed_parts();
        suspects.add_crashed_run(causes, crash, run_ms, now_ms, |part| {
            !completed_parts.rules_out(part, now_ms)
        });
    }

    /// Records a run that came to an end, so that no crash before was the doing of its request
    /// or of a part of its prompt.
    pub fn record_completed_run(&self, causes: &RunCauses) {
        let now_ms = self.now_ms();
        self.suspects().clear_run(causes, now_ms);
        self.completed_parts().record_parts(causes, now_ms);
    }

    fn completed_parts(&self) -> MutexGuard<'_, CompletedRuns> {
        self.completed_parts
            .lock()
            .expect("no holder of the completed parts panics")
    }

    /// Returns all suspect records, to send to other processes.
    pub fn known_suspects(&self) -> Vec<SuspectRecord> {
        let now_ms = self.now_ms();
        self.suspects().export_records(now_ms)
    }

    /// Returns the tag of all suspect records.
    pub fn suspects_tag(&self) -> StateTag {
        let now_ms = self.now_ms();
        StateTag::of_bytes(self.suspects().digest(now_ms).as_bytes())
    }

    /// Returns the current configuration document.
    pub fn document(&self) -> Arc<Document> {
        self.follower().fold().shared_document()
    }

    /// Returns the position up to which the configuration log is applied.
    pub fn config_position(&self) -> ConfigPosition {
        let follower = self.follower();
        let fold = follower.fold();
        ConfigPosition {
            offset: fold.head(),
            digest: fold.digest(),
        }
    }

    /// Whether the process is draining and will stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Starts the drain: the process is leaving and takes no new work from now on.
    pub fn start_drain(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Decides whether the state of the configuration allows to admit new work.
    pub fn admission(&self) -> ConfigAdmission {
        let now_ms = self.now_ms();
        let follower = self.follower();
        let age_ms = follower.confirmed_age_ms(now_ms).unwrap_or(now_ms);
        ConfigAdmission::decide(
            follower.admits(now_ms),
            age_ms,
            self.cluster.partition_policy,
        )
    }

    /// Whether the process admits new work; counts the checks passed while it is cut off from
    /// the log.
    pub fn is_ready(&self) -> bool {
        let admission = self.admission();
        if admission == ConfigAdmission::CutOffServing {
            self.metrics
                .add(CounterKind::CutOffAdmissions, 1, "policy", admission.name());
        }
        admission.admits()
    }

    /// Creates the answer to a report of a peer.
    pub fn report_answer(&self) -> ReportAnswer {
        let status = self.follower().status(self.now_ms());
        ReportAnswer {
            config: ConfigPosition {
                offset: status.head,
                digest: status.digest,
            },
            is_voter: self.process.role == HostRole::Entry && status.is_voter,
            confirmed_age_ms: status.confirmed_age_ms,
            suspects: self.known_suspects(),
        }
    }

    /// Creates the answer to a configuration request of a peer whose head is `from`.
    pub fn config_answer(&self, from: u64) -> ConfigAnswer {
        let mut answer = self.follower().answer_peer(self.now_ms(), from);
        answer.mark.is_voter &= self.process.role == HostRole::Entry;
        answer
    }

    /// Creates a heartbeat of this process.
    pub fn heartbeat(&self, wants_answer: bool) -> Heartbeat {
        let report = self.report();
        Heartbeat {
            name: NameTag::of_name(&self.process.name),
            incarnation: self.incarnation,
            sent_ms: self.now_ms(),
            state: report.state_tag(),
            suspects: self.suspects_tag(),
            leaving: report.leaving,
            wants_answer,
            config_offset: report.config.offset,
            load: report.load,
            permit_epoch: report.permit_epoch,
        }
    }

    /// Creates the answer to the heartbeat that incarnation `to` sent at `asked_ms` on its
    /// own clock.
    pub fn heartbeat_answer(&self, to: u64, asked_ms: u64, wants_report: bool) -> HeartbeatAnswer {
        let answer = self.report_answer();
        HeartbeatAnswer {
            name: NameTag::of_name(&self.process.name),
            to,
            asked_ms,
            wants_report,
            config: answer.config,
            is_voter: answer.is_voter,
            confirmed_age_ms: answer.confirmed_age_ms,
        }
    }

    /// Creates a full report of this process.
    pub fn report(&self) -> Report {
        let suspects = self.known_suspects();
        let own = self.own_state();
        Report {
            name: self.process.name.clone(),
            address: self.process.listen,
            role: self.process.role,
            region: self.process.region.clone(),
            domain: self.process.domain.clone(),
            service: self.service.clone(),
            incarnation: self.incarnation,
            leaving: self.is_leaving(),
            config: self.config_position(),
            load: own.load,
            served: own.served.clone(),
            permit_epoch: own.permit_epoch,
            suspects,
        }
    }
}

/// Returns the time of the wall clock in µs; incarnations are only compared on the same host.
fn unix_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |since| {
            u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
        })
}
