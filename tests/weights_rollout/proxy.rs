use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::Method;
use actix_web::web;

use bergamotfork::links::HttpClient;
use bergamotfork::links::ServeOptions;
use bergamotfork::links::serve;
use bergamotfork::standin::Handle;

const FORWARD_WAIT_MS: u64 = 20_000;

/// Forwards to an engine and loses the replies to its first orders to load.
#[derive(Debug)]
pub struct Proxy {
    engine: String,
    to_lose: AtomicU32,
    pub loads: AtomicU32,
}

pub fn proxy(engine: &str, to_lose: u32) -> (Handle, Arc<Proxy>) {
    let proxy = Arc::new(Proxy {
        engine: engine.to_owned(),
        to_lose: AtomicU32::new(to_lose),
        loads: AtomicU32::new(0),
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

async fn forward(proxy: web::Data<Proxy>, request: HttpRequest, body: web::Bytes) -> HttpResponse {
    let url = format!("http://{}{}", proxy.engine, request.path());
    let method = Method::from_bytes(request.method().as_str().as_bytes()).expect("a method");
    let forwarded = HttpClient::to_platform()
        .request(method, &url)
        .insert_header(("content-type", "application/json"));
    let answer = HttpClient::exchange(forwarded, body, FORWARD_WAIT_MS).await;
    if request.path() == "/v1/load" {
        proxy.loads.fetch_add(1, Ordering::SeqCst);
        let lose = |left: u32| left.checked_sub(1);
        if proxy
            .to_lose
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, lose)
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
