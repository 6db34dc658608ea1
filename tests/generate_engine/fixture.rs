use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use actix_web::App;
use actix_web::HttpServer;
use actix_web::web;

use bergamotfork::clients::EngineClient;
use bergamotfork::clients::EngineError;
use bergamotfork::clients::EngineStream;
use bergamotfork::clients::FencingNumber;
use bergamotfork::clients::GenerateOrder;
use bergamotfork::clients::LoadAnswer;
use bergamotfork::clients::LoadOrder;
use bergamotfork::clients::StreamEvent;
use bergamotfork::standin::engine;
use bergamotfork::standin::engine::EngineOptions;
use bergamotfork::weights::Digest;

/// Content of the only version, which the engine loads.
const WEIGHTS: &[u8] = b"weights of a small model";
/// Deadline of requests, and longest wait for a state of the engine.
const DEADLINE: Duration = Duration::from_secs(20);

/// Last octet of the next loopback address.
static NEXT_HOST: AtomicU32 = AtomicU32::new(1);

/// Loopback address on a free port, different for each test process and call.
fn unused_address() -> SocketAddr {
    let process = std::process::id();
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let ip = Ipv4Addr::new(127, (process >> 8) as u8 | 1, process as u8, host as u8);
    SocketAddr::new(ip.into(), 0)
}

/// An engine stand-in and a server that it loads weights from.
pub struct Fixture {
    /// Client of the engine.
    pub engine: EngineClient,
    source_url: String,
}

impl Fixture {
    /// Starts a fast engine, with its options changed by `adjust`.
    pub async fn start(adjust: impl Fn(&mut EngineOptions)) -> Self {
        let mut options = EngineOptions::new(unused_address());
        options.first_token_ms = 5;
        options.token_ms = 1;
        adjust(&mut options);
        let handle = engine::start(options).await.expect("the address is free");
        let source = HttpServer::new(|| App::new().default_service(web::to(|| async { WEIGHTS })))
            .workers(1)
            .disable_signals()
            .bind(unused_address())
            .expect("the address is free");
        let source_url = format!("http://{}/", source.addrs()[0]);
        actix_rt::spawn(source.run());
        Self {
            engine: EngineClient::new(handle.address()),
            source_url,
        }
    }

    /// Digest of the content of the weights.
    pub fn content_digest(&self) -> Digest {
        Digest::of_bytes(WEIGHTS)
    }

    /// Digest that stands for the manifest of the weights.
    pub fn manifest(&self) -> Digest {
        Digest::of_bytes(b"manifest")
    }

    /// Orders the engine to load the weights, with an order of configuration offset `offset`.
    pub async fn load(&self, offset: u64) -> Result<LoadAnswer, EngineError> {
        self.load_from(self.source_url.clone(), offset).await
    }

    /// Orders the engine to load the weights from `source_url`.
    pub async fn load_from(
        &self,
        source_url: String,
        offset: u64,
    ) -> Result<LoadAnswer, EngineError> {
        let order = LoadOrder {
            order: FencingNumber {
                offset,
                incarnation: 1,
                sequence: 1,
            },
            model: "huts".to_owned(),
            version: "1".to_owned(),
            manifest: self.manifest(),
            whole: self.content_digest(),
            base: None,
            source_url,
        };
        self.engine.load(&order).await
    }

    /// Order to generate `max_tokens` tokens, with an identifier made from the prompt.
    pub fn order(&self, prompt: &str, max_tokens: u32) -> GenerateOrder {
        GenerateOrder {
            request_id: format!("r-{prompt}"),
            model: "huts".to_owned(),
            manifest: self.manifest(),
            prompt: prompt.to_owned(),
            max_tokens,
            seed: 7,
            priority: 1,
            resume_from: 0,
            deadline_ms: DEADLINE.as_millis() as u64,
        }
    }

    /// Starts a token stream.
    pub async fn start_stream(&self, order: &GenerateOrder) -> EngineStream {
        let stream = self.engine.generate(order).await;
        stream.expect("the weights are loaded")
    }

    /// Generates a complete answer and returns its events without heartbeats.
    pub async fn generate(&self, order: &GenerateOrder) -> Vec<StreamEvent> {
        let mut stream = self.start_stream(order).await;
        let mut events = Vec::new();
        while let Some(event) = stream.next().await {
            events.push(event.expect("the stream is intact"));
        }
        events.retain(|event| *event != StreamEvent::Beat);
        events
    }

    /// Waits until exactly `count` streams are running.
    pub async fn wait_until_running(&self, count: u32) {
        let give_up_at = Instant::now() + DEADLINE;
        loop {
            let state = self.engine.fetch_state().await.expect("the engine runs");
            if state.running == count {
                return;
            }
            assert!(Instant::now() < give_up_at, "{state:?}");
            sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Reads a stream to its end and returns the last event.
pub async fn last_event(stream: &mut EngineStream) -> StreamEvent {
    let mut last = StreamEvent::Beat;
    while let Some(event) = stream.next().await {
        last = event.expect("the stream is intact");
    }
    last
}

/// Returns the first event of a stream that is not a heartbeat.
pub async fn first_token(stream: &mut EngineStream) -> StreamEvent {
    loop {
        let event = stream.next().await.expect("the stream is open");
        let event = event.expect("the stream is intact");
        if event != StreamEvent::Beat {
            return event;
        }
    }
}
