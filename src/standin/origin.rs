use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use actix_web::web;
use clap::Args;
use serde_json::json;

use crate::links::ServeOptions;
use crate::links::serve;
use crate::standin::HttpServerHandle;
use crate::standin::origin_store::ChunkAnswer;
use crate::standin::origin_store::OriginStore;
use crate::weights::Digest;

pub use crate::standin::origin_store::OriginFaults;
pub use crate::standin::origin_store::OriginStats;
pub use crate::standin::origin_store::PublishRequest;
pub use crate::standin::origin_store::RefusalFault;

/// Command-line options of the origin stand-in.
#[derive(Debug, Clone, Args)]
pub struct OriginOptions {
    /// Address to listen on.
    #[arg(long, value_name = "IP:PORT")]
    pub listen: SocketAddr,
    /// Rate of the origin's link in bytes per second; 0 means unlimited.
    #[arg(long, value_name = "BYTES", default_value_t = 0)]
    pub rate_bytes_per_s: u64,
    /// Bytes that the link sends without delay after it was idle.
    #[arg(long, value_name = "BYTES", default_value_t = 65_536)]
    pub burst_bytes: u64,
}

/// State shared by the request handlers.
#[derive(Debug)]
struct OriginState {
    started: Instant,
    store: Mutex<OriginStore>,
}

impl OriginState {
    fn store(&self) -> MutexGuard<'_, OriginStore> {
        self.store.lock().expect("no holder of the store panics")
    }

    /// Time since the start, in microseconds.
    fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}

/// Starts the stand-in for the origin of weights.
///
/// # Errors
///
/// The I/O error when the address cannot be bound.
pub async fn start(options: OriginOptions) -> io::Result<HttpServerHandle> {
    let state = web::Data::from(Arc::new(OriginState {
        started: Instant::now(),
        store: Mutex::new(OriginStore::new(
            options.rate_bytes_per_s,
            options.burst_bytes,
        )),
    }));
    serve(options.listen, &ServeOptions::default(), move |app| {
        app.app_data(state.clone())
            .route(
                "/v1/models/{model}/versions/{version}/manifest",
                web::get().to(get_manifest),
            )
            .route("/v1/chunks/{manifest}/{index}", web::get().to(get_chunk))
            .route("/v1/publish", web::post().to(publish))
            .route("/stats", web::get().to(show_stats))
            .route("/fault", web::post().to(set_faults));
    })
}

fn down_response() -> HttpResponse {
    HttpResponse::InternalServerError().body("the origin is down")
}

async fn get_manifest(
    state: web::Data<OriginState>,
    path: web::Path<(String, String)>,
) -> HttpResponse {
    let (model, version) = path.into_inner();
    let mut store = state.store();
    if store.is_down() {
        return down_response();
    }
    match store.manifest(&model, &version) {
        Some(manifest) => HttpResponse::Ok().json(manifest),
        None => HttpResponse::NotFound().body("no such version"),
    }
}

async fn get_chunk(state: web::Data<OriginState>, path: web::Path<(String, u32)>) -> HttpResponse {
    let (manifest, index) = path.into_inner();
    let Ok(manifest) = manifest.parse::<Digest>() else {
        return HttpResponse::BadRequest().body("the manifest is not a valid digest");
    };
    let answer = state.store().chunk(manifest, index, state.now_us());
    match answer {
        ChunkAnswer::Send { bytes, wait_us } => {
            sleep(Duration::from_micros(wait_us)).await;
            state.store().count_sent_chunk(bytes.len());
            HttpResponse::Ok()
                .content_type("application/octet-stream")
                .body(bytes)
        }
        ChunkAnswer::Refuse(refusal) => {
            let status =
                StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
            HttpResponse::build(status)
                .insert_header((RETRY_AFTER, refusal.retry_after_s.to_string()))
                .body("the origin limits its rate")
        }
        ChunkAnswer::Missing => HttpResponse::NotFound().body("no such chunk"),
        ChunkAnswer::Down => down_response(),
    }
}

async fn publish(
    state: web::Data<OriginState>,
    request: web::Json<PublishRequest>,
) -> HttpResponse {
    match state.store().publish(&request) {
        Some(digest) => HttpResponse::Ok().json(json!({ "manifest": digest })),
        None => HttpResponse::BadRequest().body("sizes must be above 0"),
    }
}

async fn show_stats(state: web::Data<OriginState>) -> HttpResponse {
    HttpResponse::Ok().json(state.store().stats())
}

async fn set_faults(
    state: web::Data<OriginState>,
    faults: web::Json<OriginFaults>,
) -> HttpResponse {
    state.store().set_faults(faults.into_inner());
    HttpResponse::Ok().json("ok")
}
