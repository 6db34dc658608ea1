use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::Method;
use actix_web::web;
use serde::Deserialize;

use crate::calls::GenerateCall;
use crate::calls::Nonce;
use crate::entry::ApiError;
use crate::entry::EntryState;
use crate::entry::ErrorCode;
use crate::entry::auth;
use crate::hosts::HostRole;
use crate::hosts::Progress;

/// Time allowed when the caller names none.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// A caller's request for tokens.
#[derive(Debug, Deserialize)]
pub struct GenerateBody {
    branch: String,
    model: String,
    prompt: String,
    max_tokens: u32,
    #[serde(default)]
    seed: u64,
    #[serde(default)]
    priority: u8,
    deadline_ms: Option<u64>,
}

/// Sends a request for tokens to a replica and streams the answer back.
pub async fn generate(
    state: web::Data<EntryState>,
    request: HttpRequest,
    body: web::Json<GenerateBody>,
) -> Result<HttpResponse, ApiError> {
    let document = state.node.document();
    let body = body.into_inner();
    let branch = auth::branch(&document, &body.branch, &request)?;
    let model = document.model(&body.model).ok_or_else(|| {
        let message = format!("model {:?} does not exist", body.model);
        ApiError::new(ErrorCode::UnknownModel, message)
    })?;
    if !branch.models.contains(&model.name) {
        let message = format!(
            "branch {:?} may not use model {:?}",
            branch.name, model.name
        );
        return Err(ApiError::new(ErrorCode::Forbidden, message));
    }
    let call = GenerateCall {
        request_id: Nonce::random().to_string(),
        branch: branch.name,
        model: model.name,
        manifest: model.manifest,
        prompt: body.prompt,
        max_tokens: body.max_tokens,
        seed: body.seed,
        priority: body.priority,
        deadline_ms: body.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS),
    };
    forward(&state, &call).await
}

async fn forward(state: &EntryState, call: &GenerateCall) -> Result<HttpResponse, ApiError> {
    let now_ms = state.node.now_ms();
    let address = state
        .node
        .roster()
        .usable(HostRole::Endpoint, now_ms)
        .filter(|(_, host)| {
            host.served.iter().any(|served| {
                served.manifest == call.manifest && served.progress == Progress::Serving
            })
        })
        .min_by_key(|(_, host)| host.load.running)
        .map(|(_, host)| host.address);
    let Some(address) = address else {
        let message = format!("no live endpoint serves model {:?}", call.model);
        return Err(ApiError::later(ErrorCode::NoReplica, message, 1000));
    };
    let url = format!("http://{address}/x/generate");
    let body = rmp_serde::to_vec_named(call)
        .map_err(|error| ApiError::new(ErrorCode::Internal, error.to_string()))?;
    let response = state
        .node
        .http()
        .request(Method::POST, &url)
        .send_body(body)
        .await
        .map_err(|error| ApiError::new(ErrorCode::StreamBroken, error.to_string()))?;
    Ok(HttpResponse::build(response.status())
        .content_type("application/x-ndjson")
        .streaming(response))
}
