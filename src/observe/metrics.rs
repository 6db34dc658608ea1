use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

/// What a process counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CounterKind {
    /// Requests refused, by `reason`.
    Refusals,
    /// Requests sent again, by `reason`.
    Retries,
    /// Requests finished, by `outcome`.
    Requests,
    /// Bytes of weights moved, by `direction` and peer kind.
    WeightBytes,
    /// Chunks dropped, by `reason`.
    ChunksRejected,
    /// Bytes of control traffic, by `direction`.
    ControlBytes,
    /// Calls to the platform, by `call`.
    PlatformCalls,
    /// Work admitted without a confirmed configuration for long, by `policy`.
    CutOffAdmissions,
}

impl CounterKind {
    /// Every counter.
    pub const ALL: [Self; 8] = [
        Self::Refusals,
        Self::Retries,
        Self::Requests,
        Self::WeightBytes,
        Self::ChunksRejected,
        Self::ControlBytes,
        Self::PlatformCalls,
        Self::CutOffAdmissions,
    ];

    /// Name of the counter in the exported text, which appends `_total`.
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
        }
    }
}

/// Counters of one process, exported in the Prometheus text format.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    // Keeps the instruments alive.
    _provider: SdkMeterProvider,
    counters: Vec<Counter<u64>>,
    answer_ms: Histogram<f64>,
}

/// Upper bounds of the answer times, in ms: around the targets of routes.
const ANSWER_TIME_BUCKETS_MS: [f64; 12] = [
    25.0, 50.0, 100.0, 150.0, 200.0, 300.0, 400.0, 500.0, 750.0, 1_000.0, 2_000.0, 5_000.0,
];

impl Metrics {
    /// Fresh counters.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry has no name clash");
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
        Self {
            registry,
            _provider: provider,
            counters,
            answer_ms,
        }
    }

    /// Adds `count` to `counter` under the label `key` = `value`.
    pub fn add(&self, counter: CounterKind, count: u64, key: &'static str, value: &'static str) {
        self.counters[counter as usize].add(count, &[KeyValue::new(key, value)]);
    }

    /// Counts one refusal.
    pub fn record_refusal(&self, reason: &'static str) {
        self.add(CounterKind::Refusals, 1, "reason", reason);
    }

    /// Counts one retry.
    pub fn record_retry(&self, reason: &'static str) {
        self.add(CounterKind::Retries, 1, "reason", reason);
    }

    /// Counts a request that ended with `outcome`, and the time to its answer or
    /// first event.
    pub fn record_answer(&self, outcome: &'static str, answer_ms: f64) {
        self.add(CounterKind::Requests, 1, "outcome", outcome);
        let labels = [KeyValue::new("outcome", outcome)];
        self.answer_ms.record(answer_ms, &labels);
    }

    /// All counters in the Prometheus text format.
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
