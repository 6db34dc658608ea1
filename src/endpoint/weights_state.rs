use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::WeightLinks;
use super::WeightsVersion;
use crate::observe::Metrics;
use crate::observe::Tally;
use crate::weights::Digest;
use crate::weights::MemoryBudget;

/// Bytes of HTTP headers of a request and its answer between processes.
const HTTP_HEADER_BYTES: u64 = 360;

/// Everything the HTTP handlers and the transfers of one host share.
#[derive(Debug)]
pub struct WeightsState {
    /// Name of this host.
    pub host: String,
    /// Region of this host.
    pub region: String,
    /// Links for weights.
    pub links: WeightLinks,
    /// Memory for weights.
    pub budget: Arc<MemoryBudget>,
    /// Counters of the process.
    pub metrics: Arc<Metrics>,
    versions: Mutex<Vec<Arc<WeightsVersion>>>,
    control_bytes: AtomicU64,
}

impl WeightsState {
    /// A host that holds no version yet.
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

    /// Counts one exchange beside the weights themselves.
    pub(super) fn record_control_traffic(&self, body_bytes: u64, direction: &'static str) {
        let bytes = body_bytes + HTTP_HEADER_BYTES;
        self.control_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.metrics
            .add(Tally::ControlBytes, bytes, "direction", direction);
    }

    /// Bytes of control traffic so far, as asker and as asked.
    pub fn control_bytes(&self) -> u64 {
        self.control_bytes.load(Ordering::Relaxed)
    }

    /// The version `manifest`, if it is wanted here.
    pub fn version(&self, manifest: Digest) -> Option<Arc<WeightsVersion>> {
        let versions = self.lock_versions();
        let at = versions.binary_search_by_key(&manifest, |version| version.digest());
        at.ok().map(|at| Arc::clone(&versions[at]))
    }

    /// Every version on this host.
    pub fn all_versions(&self) -> Vec<Arc<WeightsVersion>> {
        self.lock_versions().clone()
    }

    /// The version `manifest`, wanted from now on.
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

    /// Drops the version `manifest`; its memory is free once nothing uses it.
    pub fn remove_version(&self, manifest: Digest) {
        self.lock_versions()
            .retain(|version| version.digest() != manifest);
    }
}
