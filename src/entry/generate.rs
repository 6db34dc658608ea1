use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use serde::Deserialize;

use super::generate_event::GenerateEvent;
use super::generate_relay::GenerateRelay;
use crate::calls::GenerateCall;
use crate::calls::Nonce;
use crate::entry::ApiError;
use crate::entry::EntryState;
use crate::entry::ErrorCode;
use crate::entry::auth;
use crate::weights::Digest;

/// Deadline when the caller names none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Longest deadline that a caller may name, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Suggested wait before a retry when the entry is not ready, in milliseconds.
const NOT_READY_RETRY_MS: u64 = 1000;

/// Body of `POST /v1/generate`.
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
    /// Index of the first token to send; above 0 if the caller resumes an answer.
    #[serde(default)]
    resume_from: u32,
    /// Manifest of the version that generated the tokens which the caller has already.
    manifest: Option<Digest>,
}

/// Handles `POST /v1/generate`: sends a request to a replica and streams its tokens to
/// the caller.
pub async fn post_generate(
    state: web::Data<EntryState>,
    request: HttpRequest,
    body: web::Json<GenerateBody>,
) -> Result<HttpResponse, ApiError> {
    if !state.node.is_ready() {
        let message = "the entry has not confirmed its configuration";
        return Err(ApiError::retryable(
            ErrorCode::NotReady,
            message,
            NOT_READY_RETRY_MS,
        ));
    }
    let document = state.node.document();
    let body = body.into_inner();
    let branch = auth::authenticate_branch(&document, &body.branch, &request)?;
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
    if let Some(manifest) = body.manifest
        && manifest != model.manifest
    {
        let message = format!("the version of model {:?} has changed", model.name);
        return Err(ApiError::new(ErrorCode::StreamBroken, message));
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
        resume_from: body.resume_from,
        deadline_ms: body
            .deadline_ms
            .unwrap_or(DEFAULT_DEADLINE_MS)
            .min(MAX_DEADLINE_MS),
        is_suspect: false,
    };
    let mut relay = GenerateRelay::new(state.into_inner(), call);
    relay.check_stop()?;
    stream_response(relay).await
}

/// Answers with the stream of events.
///
/// Waits for the first event, so that a refusal is answered with its HTTP status.
async fn stream_response(mut relay: GenerateRelay) -> Result<HttpResponse, ApiError> {
    let Some(first) = relay.next_event().await else {
        let message = "the token stream ended without an event";
        return Err(ApiError::new(ErrorCode::Internal, message));
    };
    let first_line = Bytes::from(first?.to_line());
    let rest = stream::unfold(relay, |mut relay| async move {
        let event = match relay.next_event().await? {
            Ok(event) => event,
            Err(error) => GenerateEvent::error(relay.request_id(), &error),
        };
        Some((Bytes::from(event.to_line()), relay))
    });
    let lines = stream::iter([first_line]).chain(rest);
    Ok(HttpResponse::Ok()
        .content_type("application/x-ndjson")
        .streaming(lines.map(Ok::<_, actix_web::Error>)))
}
