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

const WEIGHTS: &[u8] = b"weights of a small model";
const DEADLINE: Duration = Duration::from_secs(20);

static NEXT_HOST: AtomicU32 = AtomicU32::new(1);

/// A loopback address that no other test process uses.
fn address() -> SocketAddr {
    let process = std::process::id();
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let ip = Ipv4Addr::new(127, (process >> 8) as u8 | 1, process as u8, host as u8);
    SocketAddr::new(ip.into(), 0)
}

/// An engine stand-in beside a source of weights.
pub struct Fixture {
    pub engine: EngineClient,
    source_url: String,
}

impl Fixture {
    pub async fn start(adjust: impl Fn(&mut EngineOptions)) -> Self {
        let mut options = EngineOptions::new(address());
        options.first_token_ms = 5;
        options.token_ms = 1;
        adjust(&mut options);
        let handle = engine::start(options).await.expect("the address is free");
        let source = HttpServer::new(|| App::new().default_service(web::to(|| async { WEIGHTS })))
            .workers(1)
            .disable_signals()
            .bind(address())
            .expect("the address is free");
        let source_url = format!("http://{}/", source.addrs()[0]);
        actix_rt::spawn(source.run());
        Self {
            engine: EngineClient::new(handle.address()),
            source_url,
        }
    }

    pub fn whole(&self) -> Digest {
        Digest::of_bytes(WEIGHTS)
    }

    pub fn manifest(&self) -> Digest {
        Digest::of_bytes(b"manifest")
    }

    pub async fn load(&self, offset: u64) -> Result<LoadAnswer, EngineError> {
        let order = LoadOrder {
            order: FencingNumber {
                offset,
                incarnation: 1,
                sequence: 1,
            },
            model: "huts".to_owned(),
            version: "1".to_owned(),
            manifest: self.manifest(),
            base: None,
            source_url: self.source_url.clone(),
        };
        self.engine.load(&order).await
    }

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

    pub async fn open(&self, order: &GenerateOrder) -> EngineStream {
        let stream = self.engine.generate(order).await;
        stream.expect("the weights are loaded")
    }

    /// All events of a stream but heartbeats.
    pub async fn generate(&self, order: &GenerateOrder) -> Vec<StreamEvent> {
        let mut stream = self.open(order).await;
        let mut events = Vec::new();
        while let Some(event) = stream.next().await {
            events.push(event.expect("the stream is whole"));
        }
        events.retain(|event| *event != StreamEvent::Beat);
        events
    }

    /// Waits until `count` streams run.
    pub async fn running(&self, count: u32) {
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

pub async fn last_event(stream: &mut EngineStream) -> StreamEvent {
    let mut last = StreamEvent::Beat;
    while let Some(event) = stream.next().await {
        last = event.expect("the stream is whole");
    }
    last
}

pub async fn first_token(stream: &mut EngineStream) -> StreamEvent {
    loop {
        let event = stream.next().await.expect("the stream is open");
        let event = event.expect("the stream is whole");
        if event != StreamEvent::Beat {
            return event;
        }
    }
}
