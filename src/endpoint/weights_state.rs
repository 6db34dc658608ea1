use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::WeightLinks;
use super::WeightsVersion;
use crate::observe::CounterKind;
use crate::observe::Metrics;
use crate::weights::Digest;
use crate::weights::MemoryBudget;

/// Size of the HTTP headers of a request and its response between processes, in bytes.
const HTTP_HEADER_BYTES: u64 = 360;

/// Weights on one host, shared by its HTTP handlers and transfers.
#[derive(Debug)]
pub struct WeightsState {
    /// Name of this host.
    pub host: String,
    /// Region of this host.
    pub region: String,
    /// Network links that transfers of weights share.
    pub links: WeightLinks,
    /// Memory budget for weights.
    pub budget: Arc<MemoryBudget>,
    /// Counters of the process.
    pub metrics: Arc<Metrics>,
    // Sorted by the digest of the manifest.
    versions: Mutex<Vec<Arc<WeightsVersion>>>,
    control_bytes: AtomicU64,
}

impl WeightsState {
    /// State of a host without versions.
    pub fn new(
        host: impl Into<String>,
        region: impl Into<String>,
        links: WeightLinks,
        budget: Arc<MemoryBudget>,
        metrics: Arc<Metrics>,
    ) -> Arc<Self> {
        Arc::new(Self {
            host: host.into(),
            region: region.into(),
            links,
            budget,
            metrics,
            versions: Mutex::default(),
            control_bytes: AtomicU64::new(0),
        })
    }

    fn lock_versions(&self) -> MutexGuard<'_, Vec<Arc<WeightsVersion>>> {
        self.versions
            .lock()
            .expect("no holder of the versions panics")
    }

    /// Counts a request and its response, headers included, as control traffic.
    pub(super) fn record_control_traffic(&self, body_bytes: u64, direction: &'static str) {
        let bytes = body_bytes + HTTP_HEADER_BYTES;
        self.control_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.metrics
            .add(CounterKind::ControlBytes, bytes, "direction", direction);
    }

    /// Bytes of control traffic so far, as client and as server.
    pub fn control_bytes(&self) -> u64 {
        self.control_bytes.load(Ordering::Relaxed)
    }

    /// Version with the digest `manifest`, if this host tracks it.
    pub fn version(&self, manifest: Digest) -> Option<Arc<WeightsVersion>> {
        let versions = self.lock_versions();
        let at = versions.binary_search_by_key(&manifest, |version| version.digest());
        at.ok().map(|at| Arc::clone(&versions[at]))
    }

    /// All versions on this host, sorted by the digest of the manifest.
    pub fn all_versions(&self) -> Vec<Arc<WeightsVersion>> {
        self.lock_versions().clone()
    }

    /// Version with the digest `manifest`; added as announced if it is missing.
    pub fn ensure_version(&self, manifest: Digest) -> Arc<WeightsVersion> {
        let mut versions = self.lock_versions();
        match versions.binary_search_by_key(&manifest, |version| version.digest()) {
            Ok(at) => Arc::clone(&versions[at]),
            Err(at) => {
                let version = WeightsVersion::announced(manifest);
                versions.insert(at, Arc::clone(&version));
                version
            }
        }
    }

    /// Removes a version; its memory is freed once nothing uses it.
    pub fn remove_version(&self, manifest: Digest) {
        self.lock_versions()
            .retain(|version| version.digest() != manifest);
    }
}
