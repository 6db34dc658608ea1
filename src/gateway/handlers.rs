use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::fleet::ListedEntry;
use crate::fleet::Residency;
use crate::fleet::Topic;
use crate::fleet::choose_entries;
use crate::fleet::entries_in_allowed_regions;
use crate::gateway::Dialect;
use crate::gateway::GatewayState;
use crate::gateway::TopicSink;
use crate::gateway::piece_cache::PieceCache;
use crate::gateway::records_reply::RecordsReply;
use crate::http1::InternalHandler;
use crate::http1::InternalRequest;
use crate::http1::InternalResponse;
use crate::observe::Metrics;
use crate::weights::OriginPort;

/// Largest number of addresses in one response of the directory.
const MAX_ADDRESSES: usize = 64;

/// Serves the directory, where clients look up the addresses of the entries that
/// accept them.
#[derive(Debug)]
pub struct DirectoryHandler<D> {
    /// State of the process.
    pub state: Rc<RefCell<GatewayState>>,
    /// Wire protocol of the platform.
    pub dialect: Rc<D>,
}

impl<D: Dialect + 'static> InternalHandler for DirectoryHandler<D> {
    async fn handle(&self, request: InternalRequest) -> InternalResponse {
        let Some(query) = self.dialect.directory_query(&request.head) else {
            return InternalResponse::without_body(404);
        };
        self.wait_for_heartbeats().await;
        let state = self.state.borrow();
        let settings = &state.settings;
        let listed = |front, failure_domain| ListedEntry {
            front,
            failure_domain,
            region: settings.region(failure_domain),
        };
        let since_ms = state.standstill.heartbeats_count_from_ms();
        let peers = state.peers.live_entries_since(since_ms, state.now_ms());
        let own = state
            .is_ready()
            .then(|| listed(settings.front, settings.failure_domain.as_str()));
        let entries: Vec<ListedEntry<'_>> = peers
            .filter(|peer| peer.is_ready)
            .map(|peer| listed(peer.front, peer.failure_domain.as_str()))
            .chain(own)
            .collect();
        if entries.is_empty() {
            return InternalResponse::without_body(503);
        }
        let residency = state
            .catalog
            .as_ref()
            .map_or_else(Residency::default, |catalog| {
                catalog.host_residency(&query.host)
            });
        let entries = entries_in_allowed_regions(entries, &query.region, &residency);
        let chosen = choose_entries(
            &entries,
            &query.failure_domain,
            &query.region,
            MAX_ADDRESSES,
            &settings.name,
        );
        let addresses: Vec<String> = chosen.iter().map(ToString::to_string).collect();
        let ttl_s = settings.directory_ttl_s;
        InternalResponse {
            status: 200,
            content_type: "application/json",
            body: self.dialect.directory_body(&addresses, ttl_s),
        }
    }
}

impl<D> DirectoryHandler<D> {
    /// Waits until the entries that run have sent a heartbeat, after this process has stood
    /// still.
    async fn wait_for_heartbeats(&self) {
        loop {
            let wait_ms = {
                let mut state = self.state.borrow_mut();
                state.record_run();
                state.standstill.wait_ms(state.now_ms())
            };
            if wait_ms == 0 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }
}

/// Serves the platform's readiness check.
#[derive(Debug)]
pub struct ReadinessHandler<D> {
    /// State of the process.
    pub state: Rc<RefCell<GatewayState>>,
    /// Wire protocol of the platform.
    pub dialect: Rc<D>,
}

impl<D: Dialect + 'static> InternalHandler for ReadinessHandler<D> {
    async fn handle(&self, request: InternalRequest) -> InternalResponse {
        if !self.dialect.is_readiness_check(&request.head) {
            return InternalResponse::without_body(404);
        }
        let is_ready = self.state.borrow().is_ready();
        InternalResponse::without_body(if is_ready { 200 } else { 503 })
    }
}

/// Path of the internal call that fetches records from an entry, before
/// `/TOPIC/OFFSET`.
pub const RECORDS_PATH: &str = "/records";

/// Path on which metrics are exported.
pub const METRICS_PATH: &str = "/metrics";

/// Serves internal calls of other processes and the metrics.
#[derive(Debug)]
pub struct InternalCallHandler<O> {
    /// State of the process.
    pub state: Rc<RefCell<GatewayState>>,
    /// Metrics of the process.
    pub metrics: Rc<Metrics>,
    /// Pieces of weights that hosts read through this entry.
    pub pieces: Rc<PieceCache<O>>,
    /// Last reply with records, kept because many processes fetch the same ones.
    pub last_records: RefCell<Option<PackedRecords>>,
}

/// An encoded and compressed [`RecordsReply`] with the request that it is for.
#[derive(Debug)]
pub struct PackedRecords {
    topic: Topic,
    offset: u64,
    end_offset: u64,
    bytes: Vec<u8>,
}

impl<O: OriginPort + 'static> InternalCallHandler<O> {
    /// Reply with the records at or after an offset; `path_rest` is `TOPIC/OFFSET`.
    ///
    /// Status 503 while this entry lacks the listing of the topic; None when `path_rest` is
    /// not a topic and an offset.
    fn records_reply(&self, path_rest: &str) -> Option<InternalResponse> {
        let (label, offset) = path_rest.split_once('/')?;
        let topic = Topic::from_label(label)?;
        let offset = offset.parse().ok()?;
        let state = self.state.borrow();
        let table = state.topic_table(topic);
        if !table.has_listing() {
            return Some(InternalResponse::without_body(503));
        }
        let end_offset = table.end_offset();
        let mut last = self.last_records.borrow_mut();
        let is_same = last.as_ref().is_some_and(|packed| {
            packed.topic == topic && packed.offset == offset && packed.end_offset == end_offset
        });
        if !is_same {
            let bytes = RecordsReply::since(table, offset).pack();
            *last = Some(PackedRecords {
                topic,
                offset,
                end_offset,
                bytes,
            });
        }
        let body = last.as_ref()?.bytes.clone();
        Some(InternalResponse {
            status: 200,
            content_type: "application/msgpack",
            body,
        })
    }
}

impl<O: OriginPort + 'static> InternalHandler for InternalCallHandler<O> {
    async fn handle(&self, request: InternalRequest) -> InternalResponse {
        let path = request.head.path();
        if path == METRICS_PATH {
            let held_bytes = self.state.borrow().answer_memory.held_bytes();
            self.metrics.record_answer_bytes(held_bytes as u64);
            let suspects = self.state.borrow().suspects.len();
            self.metrics.record_crash_suspects(suspects as u64);
            let evacuated = self.state.borrow().evacuated_in_flight();
            self.metrics.record_evacuated_in_flight(evacuated.into());
            return InternalResponse::metrics(self.metrics.render());
        }
        if let Some(reply) = self.pieces.reply_to(path).await {
            return reply;
        }
        path.strip_prefix(RECORDS_PATH)
            .and_then(|rest| self.records_reply(rest.strip_prefix('/')?))
            .unwrap_or_else(|| InternalResponse::without_body(404))
    }
}
