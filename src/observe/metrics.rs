use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Counters of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CounterKind {
    /// Requests that were refused, by `reason`.
    Refusals,
    /// Requests that were sent again, by `reason`.
    Retries,
    /// Requests that were finished, by `outcome`.
    Requests,
    /// Bytes of weights that were transferred, by `direction`, which also names the source.
    WeightBytes,
    /// Chunks that were received and dropped, by `reason`.
    ChunksRejected,
    /// Bytes of control traffic, by `direction`.
    ControlBytes,
    /// Calls to the platform, by `call`.
    PlatformCalls,
    /// Requests admitted long after the configuration was last confirmed, by `policy`.
    CutOffAdmissions,
    /// Answers of replicas, by the `framing` of the body and how it `end`ed.
    ReplicaAnswers,
    /// Orders to the engine to load weights, by `outcome`.
    LoadOrders,
    /// Connections that were closed although their clients may have held them for kept, by
    /// `cause`.
    ClosedConnections,
    /// Requests from which the limit on cold replicas kept a replica, by `outcome`.
    ColdHeldBack,
    /// Peers that were refused at a port, or whose connections were closed, by `cause`.
    PeerRefusals,
}

impl CounterKind {
    /// All counters, in order of declaration.
    pub const ALL: [Self; 13] = [
        Self::Refusals,
        Self::Retries,
        Self::Requests,
        Self::WeightBytes,
        Self::ChunksRejected,
        Self::ControlBytes,
        Self::PlatformCalls,
        Self::CutOffAdmissions,
        Self::ReplicaAnswers,
        Self::LoadOrders,
        Self::ClosedConnections,
        Self::ColdHeldBack,
        Self::PeerRefusals,
    ];

    /// Name of the counter; the exported text appends `_total` to it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refusals => "bergamotfork_refusals",
            Self::Retries => "bergamotfork_retries",
            Self::Requests => "bergamotfork_requests",
            Self::WeightBytes => "bergamotfork_weight_bytes",
            Self::ChunksRejected => "bergamotfork_chunks_rejected",
            Self::ControlBytes => "bergamotfork_control_bytes",
            Self::PlatformCalls => "bergamotfork_platform_calls",
            Self::CutOffAdmissions => "bergamotfork_cut_off_admissions",
            Self::ReplicaAnswers => "bergamotfork_replica_answers",
            Self::LoadOrders => "bergamotfork_load_orders",
            Self::ClosedConnections => "bergamotfork_closed_connections",
            Self::ColdHeldBack => "bergamotfork_cold_held_back",
            Self::PeerRefusals => "bergamotfork_peer_refusals",
        }
    }
}

/// Metrics of a process, exported in the Prometheus text format.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    // Kept because the instruments stop working when the provider is dropped.
    _provider: SdkMeterProvider,
    /// One counter for each kind, in the order of `CounterKind::ALL`.
    counters: Vec<Counter<u64>>,
    /// Time from a request to its answer or first event, by `outcome`.
    answer_ms: Histogram<f64>,
    /// Time of a call to the platform's store, by `call` and `outcome`.
    store_call_ms: Histogram<f64>,
    /// Time by which a timer of the process fired late.
    timer_late_ms: Histogram<f64>,
    /// Bytes of answers that are not passed on yet.
    answer_bytes: Gauge<u64>,
    /// Pairs of a request and a crash during which it was running.
    crash_suspects: Gauge<u64>,
    /// Requests in flight in evacuated failure domains.
    evacuated_in_flight: Gauge<u64>,
}

/// Upper bounds of the buckets for the lateness of timers, in ms.
const TIMER_LATE_BUCKETS_MS: [f64; 6] = [5.0, 20.0, 100.0, 300.0, 1_000.0, 3_000.0];

/// Upper bounds of the buckets for answer times, in ms; dense around the latency targets
/// of routes.
const ANSWER_TIME_BUCKETS_MS: [f64; 12] = [
    25.0, 50.0, 100.0, 150.0, 200.0, 300.0, 400.0, 500.0, 750.0, 1_000.0, 2_000.0, 5_000.0,
];

impl Metrics {
    /// Creates metrics that are all zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry has no conflicting names");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("bergamotfork");
        let counters = CounterKind::ALL
            .iter()
            .map(|counter| meter.u64_counter(counter.name()).build())
            .collect();
        let answer_ms = meter
            .f64_histogram("bergamotfork_answer_ms")
            .with_boundaries(ANSWER_TIME_BUCKETS_MS.to_vec())
            .build();
        let store_call_ms = meter
            .f64_histogram("bergamotfork_store_call_ms")
            .with_boundaries(ANSWER_TIME_BUCKETS_MS.to_vec())
            .build();
        let timer_late_ms = meter
            .f64_histogram("bergamotfork_timer_late_ms")
            .with_boundaries(TIMER_LATE_BUCKETS_MS.to_vec())
            .build();
        let answer_bytes = meter.u64_gauge("bergamotfork_answer_bytes").build();
        let crash_suspects = meter.u64_gauge("bergamotfork_crash_suspects").build();
        let evacuated_in_flight = meter.u64_gauge("bergamotfork_evacuated_in_flight").build();
        Self {
            registry,
            _provider: provider,
            counters,
            answer_ms,
            store_call_ms,
            timer_late_ms,
            answer_bytes,
            crash_suspects,
            evacuated_in_flight,
        }
    }

    /// Adds `count` to `counter` under the label `key` = `value`.
    pub fn add(&self, counter: CounterKind, count: u64, key: &'static str, value: &'static str) {
        self.counters[counter as usize].add(count, &[KeyValue::new(key, value)]);
    }

    /// Counts a refused request.
    pub fn record_refusal(&self, reason: &'static str) {
        self.add(CounterKind::Refusals, 1, "reason", reason);
    }

    /// Counts a request that is sent again.
    pub fn record_retry(&self, reason: &'static str) {
        self.add(CounterKind::Retries, 1, "reason", reason);
    }

    /// Counts a request that ended with `outcome`, and records the time to its answer or
    /// first event, in milliseconds.
    pub fn record_answer(&self, outcome: &'static str, answer_ms: f64) {
        self.add(CounterKind::Requests, 1, "outcome", outcome);
        let labels = [KeyValue::new("outcome", outcome)];
        self.answer_ms.record(answer_ms, &labels);
    }

    /// Counts an answer of a replica by the framing of its body and how it ended.
    pub fn record_replica_answer(&self, framing: &'static str, end: &'static str) {
        let labels = [KeyValue::new("framing", framing), KeyValue::new("end", end)];
        self.counters[CounterKind::ReplicaAnswers as usize].add(1, &labels);
    }

    /// Counts a connection that is closed although its client may hold it for kept.
    pub fn record_closed_connection(&self, cause: &'static str) {
        self.add(CounterKind::ClosedConnections, 1, "cause", cause);
    }

    /// Counts a request that was not sent to cold replicas, by what became of it.
    pub fn record_cold_held_back(&self, outcome: &'static str) {
        self.add(CounterKind::ColdHeldBack, 1, "outcome", outcome);
    }

    /// Records the time of a call to the platform's store, in milliseconds.
    pub fn record_store_call(&self, call: &'static str, outcome: &'static str, took_ms: f64) {
        let labels = [
            KeyValue::new("call", call),
            KeyValue::new("outcome", outcome),
        ];
        self.store_call_ms.record(took_ms, &labels);
    }

    /// Records by how many milliseconds a timer of the process fired late.
    pub fn record_timer_late(&self, late_ms: f64) {
        self.timer_late_ms.record(late_ms, &[]);
    }

    /// Records how many bytes of answers are not passed on yet.
    pub fn record_answer_bytes(&self, bytes: u64) {
        self.answer_bytes.record(bytes, &[]);
    }

    /// Records how many pairs of a request and a crash during which it was running are known.
    pub fn record_crash_suspects(&self, pairs: u64) {
        self.crash_suspects.record(pairs, &[]);
    }

    /// Records how many requests of this entry are in flight in evacuated failure domains.
    pub fn record_evacuated_in_flight(&self, requests: u64) {
        self.evacuated_in_flight.record(requests, &[]);
    }

    /// All metrics in the Prometheus text format; empty if they can't be encoded.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if TextEncoder::new().encode(&families, &mut text).is_err() {
            return String::new();
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
