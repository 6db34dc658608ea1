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

use crate::conf::ClusterSettings;
use crate::conf::PlatformSettings;
use crate::conf::ProcessSettings;
use crate::document::Document;
use crate::document::Fold;
use crate::hosts::ConfigMark;
use crate::hosts::Load;
use crate::hosts::Report;
use crate::hosts::Roster;
use crate::hosts::Served;
use crate::links::HttpClient;
use crate::links::LinkError;
use crate::observe::Metrics;
use crate::observe::Tally;

/// Bytes of the head of a request or answer between two processes, about.
const HEADER_BYTES: usize = 200;

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
    metrics: Metrics,
    http: HttpClient,
    roster: Mutex<Roster>,
    fold: Mutex<Fold>,
    own: Mutex<OwnState>,
    leaving: AtomicBool,
    ready: AtomicBool,
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
        let http = HttpClient::to_processes(cluster.shared_key.clone());
        Self {
            process,
            platform,
            cluster,
            service,
            incarnation: unix_us(),
            started: Instant::now(),
            metrics: Metrics::new(),
            http,
            roster: Mutex::new(Roster::new()),
            fold: Mutex::new(Fold::new()),
            own: Mutex::default(),
            leaving: AtomicBool::new(false),
            ready: AtomicBool::new(false),
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
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Client towards the other processes.
    pub fn http(&self) -> &HttpClient {
        &self.http
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

    /// Counts a message of control traffic with `body_bytes` of body.
    pub fn count_control(&self, direction: &'static str, body_bytes: usize) {
        let bytes = (body_bytes + HEADER_BYTES) as u64;
        self.metrics
            .add(Tally::ControlBytes, bytes, "direction", direction);
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

    /// The configuration it has folded.
    pub fn fold(&self) -> MutexGuard<'_, Fold> {
        self.fold.lock().expect("no holder of the fold panics")
    }

    /// What it says of itself.
    pub fn own(&self) -> MutexGuard<'_, OwnState> {
        self.own.lock().expect("no holder of the own state panics")
    }

    /// A copy of the document in force.
    pub fn document(&self) -> Document {
        self.fold().document().clone()
    }

    /// How far the configuration has been folded.
    pub fn config_mark(&self) -> ConfigMark {
        let fold = self.fold();
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

    /// Whether the configuration has been confirmed.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Notes whether the configuration is confirmed.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// What the process says of itself now.
    pub fn report(&self) -> Report {
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
