use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::get;
use actix_web::http::StatusCode;
use actix_web::post;
use actix_web::web::Bytes;
use actix_web::web::Data;
use actix_web::web::Json;
use futures_util::StreamExt;
use futures_util::stream;
use serde::Deserialize;
use serde::Serialize;

use super::generation::Generation;
use super::state::Engine;
use crate::clients::CancelOrder;
use crate::clients::EngineErrorCode;
use crate::clients::EngineRefusal;
use crate::clients::GenerateOrder;
use crate::clients::LoadAnswer;
use crate::clients::LoadOrder;
use crate::clients::LoadedWeights;
use crate::clients::RoleOrder;
use crate::clients::UnloadOrder;
use crate::weights::Digest;

/// Longest time to read weights from their source.
const SOURCE_READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Body of `POST /fault`.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct FaultInjection {
    /// Duration of every prefill and decode step, in percent of the normal duration.
    pace_percent: u64,
}

#[post("/v1/load")]
pub(super) async fn load(engine: Data<Engine>, order: Json<LoadOrder>) -> HttpResponse {
    if let Err(refusal) = engine.accept_order(order.order) {
        return conflict(refusal);
    }
    if order
        .base
        .is_some_and(|base| engine.find_weights(base).is_none())
    {
        return conflict(refusal_with(EngineErrorCode::BaseNotLoaded));
    }
    let Some(whole) = hash_source(&order.source_url).await else {
        return HttpResponse::build(StatusCode::BAD_GATEWAY)
            .json(refusal_with(EngineErrorCode::SourceFailed));
    };
    if whole != order.whole {
        return conflict(refusal_with(EngineErrorCode::WrongContent));
    }
    // An order with a higher number may have arrived while the source was read.
    if let Err(refusal) = engine.accept_order(order.order) {
        return conflict(refusal);
    }
    engine.insert_weights(LoadedWeights {
        model: order.model.clone(),
        version: order.version.clone(),
        manifest: order.manifest,
        whole,
    });
    HttpResponse::Ok().json(LoadAnswer { whole })
}

#[post("/v1/unload")]
pub(super) async fn unload(engine: Data<Engine>, order: Json<UnloadOrder>) -> HttpResponse {
    match engine.accept_order(order.order) {
        Ok(()) => engine.remove_weights(order.manifest),
        Err(refusal) => return conflict(refusal),
    }
    HttpResponse::Ok().json(())
}

#[post("/v1/role")]
pub(super) async fn role(engine: Data<Engine>, order: Json<RoleOrder>) -> HttpResponse {
    match engine.accept_order(order.order) {
        Ok(()) => engine.set_role(order.role),
        Err(refusal) => return conflict(refusal),
    }
    HttpResponse::Ok().json(())
}

#[get("/v1/state")]
pub(super) async fn state(engine: Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(engine.snapshot())
}

#[post("/v1/generate")]
pub(super) async fn generate(engine: Data<Engine>, order: Json<GenerateOrder>) -> HttpResponse {
    let Some(weights) = engine.find_weights(order.manifest) else {
        return conflict(refusal_with(EngineErrorCode::NotLoaded));
    };
    let generation = Generation::new(engine.into_inner(), order.into_inner(), weights);
    let events = stream::unfold(generation, |mut generation| async move {
        let event = generation.next().await?;
        Some((event, generation))
    });
    let lines = events.map(|event| Ok::<_, actix_web::Error>(Bytes::from(event.to_line())));
    HttpResponse::Ok()
        .content_type("application/x-ndjson")
        .streaming(lines)
}

#[post("/v1/cancel")]
pub(super) async fn cancel(engine: Data<Engine>, order: Json<CancelOrder>) -> HttpResponse {
    engine.cancel_streams(&order.request_id);
    HttpResponse::Ok().json(())
}

#[post("/fault")]
pub(super) async fn inject_fault(
    engine: Data<Engine>,
    fault: Json<FaultInjection>,
) -> HttpResponse {
    engine
        .pace_percent
        .store(fault.pace_percent, Ordering::Relaxed);
    HttpResponse::Ok().json(())
}

/// Refusal that reports no highest order number.
fn refusal_with(code: EngineErrorCode) -> EngineRefusal {
    EngineRefusal {
        code,
        highest: None,
    }
}

fn conflict(refusal: EngineRefusal) -> HttpResponse {
    HttpResponse::Conflict().json(refusal)
}

/// Downloads `url` and returns the digest of its content; `None` when the download fails.
async fn hash_source(url: &str) -> Option<Digest> {
    let client = awc::Client::builder().timeout(SOURCE_READ_TIMEOUT).finish();
    let mut response = client.get(url).send().await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let mut hasher = blake3::Hasher::new();
    while let Some(chunk) = response.next().await {
        hasher.update(&chunk.ok()?);
    }
    Some(Digest::from(hasher.finalize()))
}
