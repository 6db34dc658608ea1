use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::EngineOptions;
use super::PrefixCache;
use super::batch::Batch;
use crate::clients::EngineErrorCode;
use crate::clients::EngineRefusal;
use crate::clients::EngineRole;
use crate::clients::EngineState;
use crate::clients::FencingNumber;
use crate::clients::LoadedWeights;
use crate::weights::Digest;

/// One engine stand-in: options, decode slots and the state behind its lock.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) options: EngineOptions,
    pub(super) batch: Arc<Batch>,
    /// Injected duration of every prefill and decode step, in percent of the normal duration.
    pub(super) pace_percent: AtomicU64,
    inner: Mutex<EngineInner>,
}

/// State behind the engine's lock.
#[derive(Debug)]
struct EngineInner {
    loaded: Vec<LoadedWeights>,
    highest_order: Option<FencingNumber>,
    role: EngineRole,
    cache: PrefixCache,
    streams: Vec<RunningStream>,
}

#[derive(Debug)]
struct RunningStream {
    request_id: String,
    cancelled: Arc<AtomicBool>,
}

impl Engine {
    pub(super) fn new(options: EngineOptions) -> Self {
        let inner = EngineInner {
            loaded: Vec::new(),
            highest_order: None,
            role: EngineRole::Both,
            cache: PrefixCache::new(options.cache_blocks),
            streams: Vec::new(),
        };
        Self {
            batch: Batch::new(options.slots),
            pace_percent: AtomicU64::new(100),
            inner: Mutex::new(inner),
            options,
        }
    }

    /// Records an order number; refuses one below the highest if `checks_orders` is set.
    pub(super) fn accept_order(&self, order: FencingNumber) -> Result<(), EngineRefusal> {
        let mut inner = self.lock();
        let stale = inner.highest_order > Some(order);
        if stale && self.options.checks_orders {
            return Err(EngineRefusal {
                code: EngineErrorCode::StaleOrder,
                highest: inner.highest_order,
            });
        }
        inner.highest_order = inner.highest_order.max(Some(order));
        Ok(())
    }

    /// Adds loaded weights, replacing those with the same manifest.
    pub(super) fn insert_weights(&self, weights: LoadedWeights) {
        let mut inner = self.lock();
        inner
            .loaded
            .retain(|other| other.manifest != weights.manifest);
        inner.loaded.push(weights);
    }

    pub(super) fn remove_weights(&self, manifest: Digest) {
        self.lock()
            .loaded
            .retain(|other| other.manifest != manifest);
    }

    /// Loaded weights with this manifest.
    pub(super) fn find_weights(&self, manifest: Digest) -> Option<LoadedWeights> {
        let inner = self.lock();
        let found = inner.loaded.iter().find(|it| it.manifest == manifest);
        found.cloned()
    }

    pub(super) fn set_role(&self, role: EngineRole) {
        self.lock().role = role;
    }

    /// Inserts a prompt into the prefix cache and returns its hit share, in percent.
    pub(super) fn cache_prompt(&self, weights: Digest, prompt: &str) -> u64 {
        let mut inner = self.lock();
        inner
            .cache
            .insert_prompt(weights.as_bytes(), prompt.as_bytes())
    }

    /// Registers a stream and returns the flag that is set when it is cancelled.
    pub(super) fn open_stream(&self, request_id: &str) -> Arc<AtomicBool> {
        let cancelled = Arc::new(AtomicBool::new(false));
        self.lock().streams.push(RunningStream {
            request_id: request_id.to_owned(),
            cancelled: cancelled.clone(),
        });
        cancelled
    }

    /// Removes the stream that `open_stream` returned `cancelled` for.
    pub(super) fn close_stream(&self, cancelled: &Arc<AtomicBool>) {
        let mut inner = self.lock();
        inner
            .streams
            .retain(|stream| !Arc::ptr_eq(&stream.cancelled, cancelled));
    }

    /// Sets the cancel flag of every stream of the request.
    pub(super) fn cancel_streams(&self, request_id: &str) {
        for stream in &self.lock().streams {
            if stream.request_id == request_id {
                stream.cancelled.store(true, Ordering::Relaxed);
            }
        }
    }

    /// Current state as `GET /v1/state` reports it.
    pub(super) fn snapshot(&self) -> EngineState {
        let inner = self.lock();
        EngineState {
            loaded: inner.loaded.clone(),
            highest_order: inner.highest_order,
            running: self.batch.running(),
            queued: self.batch.queued(),
            cached_blocks: inner.cache.len() as u32,
            started: inner.cache.prompts(),
            prompt_blocks: inner.cache.prompt_blocks(),
            hit_blocks: inner.cache.hit_blocks(),
            role: inner.role,
        }
    }

    fn lock(&self) -> MutexGuard<'_, EngineInner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}
