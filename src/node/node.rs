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

use crate::calls::SuspectRecord;
use crate::calls::SuspectTable;
use crate::conf::ClusterSettings;
use crate::conf::PlatformSettings;
use crate::conf::ProcessSettings;
use crate::document::Document;
use crate::document::follow::Follower;
use crate::document::follow::PeerAnswer;
use crate::hosts::Beat;
use crate::hosts::BeatAnswer;
use crate::hosts::ConfigMark;
use crate::hosts::HostRole;
use crate::hosts::Load;
use crate::hosts::NameTag;
use crate::hosts::Report;
use crate::hosts::ReportAnswer;
use crate::hosts::Roster;
use crate::hosts::Served;
use crate::hosts::StateTag;
use crate::links::HttpClient;
use crate::links::LinkError;
use crate::links::SimulatedPartition;
use crate::node::Admission;
use crate::observe::CounterKind;
use crate::observe::Metrics;

/// Bytes of the head of a request or answer between two processes, about.
const HEADER_BYTES: usize = 200;

/// Bytes of the IP and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;

/// Time a request stays suspect after a crash it was near.
const SUSPECT_WINDOW_MS: u64 = 600_000;

/// Crashes remembered, counted once per request that ran.
const MAX_SUSPECTS: usize = 1024;

/// What this process says of itself beside its identity.
#[derive(Debug, Default)]
pub struct OwnState {
    /// How busy it is.
    pub load: Load,
    /// Versions on it.
    pub served: Vec<Served>,
    /// Epoch that new permits should name.
    pub permit_epoch: u64,
}

/// One process of the system.
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
    cuts: Arc<SimulatedPartition>,
    roster: Mutex<Roster>,
    follower: Mutex<Follower>,
    own: Mutex<OwnState>,
    suspects: Mutex<SuspectTable>,
    leaving: AtomicBool,
    control_bytes: AtomicU64,
}

impl Node {
    /// A fresh incarnation with nothing known.
    pub fn new(
        process: ProcessSettings,
        platform: PlatformSettings,
        cluster: ClusterSettings,
        service: Option<String>,
    ) -> Self {
        let cuts = Arc::new(SimulatedPartition::default());
        let http = HttpClient::to_processes(cluster.shared_key.clone())
            .with_simulated_partition(Arc::clone(&cuts));
        Self {
            process,
            platform,
            cluster,
            service,
            incarnation: unix_us(),
            started: Instant::now(),
            metrics: Arc::new(Metrics::new()),
            http,
            cuts,
            roster: Mutex::new(Roster::new()),
            follower: Mutex::new(Follower::new(0)),
            own: Mutex::default(),
            suspects: Mutex::new(SuspectTable::new(SUSPECT_WINDOW_MS, MAX_SUSPECTS)),
            leaving: AtomicBool::new(false),
            control_bytes: AtomicU64::new(0),
        }
    }

    /// Who the process is.
    pub fn process(&self) -> &ProcessSettings {
        &self.process
    }

    /// Where the platform is.
    pub fn platform(&self) -> &PlatformSettings {
        &self.platform
    }

    /// What all processes share.
    pub fn cluster(&self) -> &ClusterSettings {
        &self.cluster
    }

    /// Plain service beside the process.
    pub fn service(&self) -> Option<&str> {
        self.service.as_deref()
    }

    /// Name of the host.
    pub fn name(&self) -> &str {
        &self.process.name
    }

    /// Grows with each start of the process on this host.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Time since the process started; never goes back.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Counters of the process.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Client towards the other processes.
    pub fn http(&self) -> &HttpClient {
        &self.http
    }

    /// Addresses that it does not reach during a drill.
    pub fn cuts(&self) -> &Arc<SimulatedPartition> {
        &self.cuts
    }

    /// Asks another process and counts the bytes of control traffic.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when no usable answer came within `wait_ms`.
    pub async fn ask<A: DeserializeOwned>(
        &self,
        url: &str,
        question: &impl Serialize,
        wait_ms: u64,
    ) -> Result<A, LinkError> {
        let malformed = |error: String| LinkError::Malformed(error);
        let body =
            rmp_serde::to_vec_named(question).map_err(|error| malformed(error.to_string()))?;
        self.count_control("sent", body.len());
        let answer = self.http.post_rmp(url, body, wait_ms).await?;
        self.count_control("received", answer.len());
        rmp_serde::from_slice(&answer).map_err(|error| malformed(error.to_string()))
    }

    /// Counts a request or answer of control traffic with `body_bytes` of body.
    pub fn count_control(&self, direction: &'static str, body_bytes: usize) {
        self.count_control_bytes(direction, body_bytes + HEADER_BYTES);
    }

    /// Counts a datagram of control traffic with `body_bytes` of body.
    pub fn count_datagram(&self, direction: &'static str, body_bytes: usize) {
        self.count_control_bytes(direction, body_bytes + DATAGRAM_HEADER_BYTES);
    }

    fn count_control_bytes(&self, direction: &'static str, bytes: usize) {
        let bytes = bytes as u64;
        self.metrics
            .add(CounterKind::ControlBytes, bytes, "direction", direction);
        self.control_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Bytes of control traffic so far, both ways, headers included.
    pub fn control_bytes(&self) -> u64 {
        self.control_bytes.load(Ordering::Relaxed)
    }

    /// The hosts it knows.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().expect("no holder of the roster panics")
    }

    /// The configuration it has folded and how it follows the log.
    pub fn follower(&self) -> MutexGuard<'_, Follower> {
        self.follower
            .lock()
            .expect("no holder of the follower panics")
    }

    /// What it says of itself.
    pub fn own(&self) -> MutexGuard<'_, OwnState> {
        self.own.lock().expect("no holder of the own state panics")
    }

    /// Requests that ran when endpoints crashed.
    pub fn suspects(&self) -> MutexGuard<'_, SuspectTable> {
        self.suspects
            .lock()
            .expect("no holder of the suspects panics")
    }

    /// Everything known of suspects, to spread.
    pub fn known_suspects(&self) -> Vec<SuspectRecord> {
        let now_ms = self.now_ms();
        self.suspects().export_records(now_ms)
    }

    /// Tag of everything known of suspects.
    pub fn suspects_tag(&self) -> StateTag {
        let now_ms = self.now_ms();
        StateTag::of(self.suspects().digest(now_ms).as_bytes())
    }

    /// The document in force.
    pub fn document(&self) -> Arc<Document> {
        self.follower().fold().shared_document()
    }

    /// How far the configuration has been folded.
    pub fn config_mark(&self) -> ConfigMark {
        let follower = self.follower();
        let fold = follower.fold();
        ConfigMark {
            offset: fold.head(),
            digest: fold.digest(),
        }
    }

    /// Whether the process is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Starts to leave: no new work from now on.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Whether the process may admit new work, going by its configuration.
    pub fn admission(&self) -> Admission {
        let now_ms = self.now_ms();
        let follower = self.follower();
        let age_ms = follower.confirmed_age_ms(now_ms).unwrap_or(now_ms);
        Admission::decide(
            follower.admits(now_ms),
            age_ms,
            self.cluster.partition_policy,
        )
    }

    /// Whether the process admits new work; work admitted while cut off is counted.
    pub fn is_ready(&self) -> bool {
        let admission = self.admission();
        if admission == Admission::CutOffServing {
            self.metrics
                .add(CounterKind::CutOffAdmissions, 1, "policy", admission.name());
        }
        admission.admits()
    }

    /// What the process answers a peer that reported.
    pub fn report_answer(&self) -> ReportAnswer {
        let mark = self.follower().mark(self.now_ms());
        ReportAnswer {
            config: ConfigMark {
                offset: mark.head,
                digest: mark.digest,
            },
            is_voter: self.process.role == HostRole::Entry && mark.is_voter,
            confirmed_age_ms: mark.confirmed_age_ms,
            suspects: self.known_suspects(),
        }
    }

    /// What the process answers a peer whose head is `from`.
    pub fn config_answer(&self, from: u64) -> PeerAnswer {
        let mut answer = self.follower().answer(self.now_ms(), from);
        answer.mark.is_voter &= self.process.role == HostRole::Entry;
        answer
    }

    /// The process's sign of life.
    pub fn beat(&self, wants_answer: bool) -> Beat {
        let report = self.report();
        Beat {
            name: NameTag::of(&self.process.name),
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

    /// What the process answers to a beat sent at `asked_ms` of the sender's clock.
    pub fn beat_answer(&self, to: u64, asked_ms: u64, wants_report: bool) -> BeatAnswer {
        let answer = self.report_answer();
        BeatAnswer {
            name: NameTag::of(&self.process.name),
            to,
            asked_ms,
            wants_report,
            config: answer.config,
            is_voter: answer.is_voter,
            confirmed_age_ms: answer.confirmed_age_ms,
        }
    }

    /// What the process says of itself now.
    pub fn report(&self) -> Report {
        let suspects = self.known_suspects();
        let own = self.own();
        Report {
            name: self.process.name.clone(),
            address: self.process.listen,
            role: self.process.role,
            region: self.process.region.clone(),
            domain: self.process.domain.clone(),
            service: self.service.clone(),
            incarnation: self.incarnation,
            leaving: self.is_leaving(),
            config: self.config_mark(),
            load: own.load,
            served: own.served.clone(),
            permit_epoch: own.permit_epoch,
            suspects,
        }
    }
}

/// Time of the wall clock; only ever compared on the same host.
fn unix_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |since| {
            u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
        })
}
