use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::Method;
use actix_web::web;
use tokio::sync::RwLock;

use bergamotfork::links::HttpClient;
use bergamotfork::links::LinkError;
use bergamotfork::links::ServeOptions;
use bergamotfork::links::serve;
use bergamotfork::standin::HttpServerHandle;

const FORWARD_TIMEOUT_MS: u64 = 20_000;

/// Proxy of an engine that drops the replies to the first orders to load, and may keep orders
/// to unload back.
#[derive(Debug)]
pub struct EngineProxy {
    engine: String,
    replies_to_drop: AtomicU32,
    /// Orders to load that came in.
    pub loads_received: AtomicU32,
    /// Orders to load wait here while a test holds the lock for writing.
    pub load_gate: RwLock<()>,
    /// Orders to load that were forwarded.
    pub loads: AtomicU32,
    /// Whether orders to unload are kept back and not answered.
    pub keeps_unloads: AtomicBool,
    kept_unloads: Mutex<Vec<web::Bytes>>,
}

impl EngineProxy {
    /// First order to unload that was kept back.
    pub fn first_kept_unload(&self) -> Option<web::Bytes> {
        let kept = self.kept_unloads.lock().expect("no holder panics");
        kept.first().cloned()
    }

    /// Sends an order to unload that was kept back; returns whether the engine accepts it.
    pub async fn send_kept_unload(&self, order: web::Bytes) -> bool {
        let url = format!("http://{}/v1/unload", self.engine);
        let request = HttpClient::to_platform()
            .request(Method::POST, &url)
            .insert_header(("content-type", "application/json"));
        let answer = HttpClient::send_and_read(request, order, FORWARD_TIMEOUT_MS).await;
        match answer {
            Ok(_) => true,
            Err(LinkError::Status { status: 409, .. }) => false,
            Err(error) => panic!("the engine runs: {error}"),
        }
    }
}

/// Starts a proxy of `engine` that drops `replies_to_drop` replies.
pub fn start_proxy(engine: &str, replies_to_drop: u32) -> (HttpServerHandle, Arc<EngineProxy>) {
    let proxy = Arc::new(EngineProxy {
        engine: engine.to_owned(),
        replies_to_drop: AtomicU32::new(replies_to_drop),
        loads_received: AtomicU32::new(0),
        load_gate: RwLock::default(),
        loads: AtomicU32::new(0),
        keeps_unloads: AtomicBool::new(false),
        kept_unloads: Mutex::default(),
    });
    let shared = web::Data::from(Arc::clone(&proxy));
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let handle = serve(listen, &ServeOptions::default(), move |app| {
        app.app_data(shared.clone())
            .default_service(web::to(forward));
    })
    .expect("the address is free");
    (handle, proxy)
}

async fn forward(
    proxy: web::Data<EngineProxy>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    if request.path() == "/v1/unload" && proxy.keeps_unloads.load(Ordering::SeqCst) {
        proxy
            .kept_unloads
            .lock()
            .expect("no holder panics")
            .push(body);
        return HttpResponse::GatewayTimeout().finish();
    }
    if request.path() == "/v1/load" {
        proxy.loads_received.fetch_add(1, Ordering::SeqCst);
        drop(proxy.load_gate.read().await);
    }
    let url = format!("http://{}{}", proxy.engine, request.path());
    let method = Method::from_bytes(request.method().as_str().as_bytes()).expect("a method");
    let forwarded = HttpClient::to_platform()
        .request(method, &url)
        .insert_header(("content-type", "application/json"));
    let answer = HttpClient::send_and_read(forwarded, body, FORWARD_TIMEOUT_MS).await;
    if request.path() == "/v1/load" {
        proxy.loads.fetch_add(1, Ordering::SeqCst);
        let take_one = |left: u32| left.checked_sub(1);
        if proxy
            .replies_to_drop
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take_one)
            .is_ok()
        {
            return HttpResponse::GatewayTimeout().finish();
        }
    }
    match answer {
        Ok(body) => HttpResponse::Ok()
            .content_type("application/json")
            .body(body),
        Err(_) => HttpResponse::BadGateway().finish(),
    }
}
