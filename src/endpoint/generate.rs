use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::Bytes;

use crate::calls::GenerateCall;
use crate::endpoint::EndpointState;
use crate::links::HttpClient;
use crate::links::has_key;
use crate::links::read_rmp;
use crate::platform::GenerateOrder;

/// Passes a request for tokens to the engine and streams its answer back.
pub async fn generate(
    state: web::Data<EndpointState>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    if !has_key(&request, &state.node.cluster().shared_key) {
        return HttpResponse::Unauthorized().finish();
    }
    let call: GenerateCall = match read_rmp(&body) {
        Ok(call) => call,
        Err(error) => return HttpResponse::BadRequest().body(error.to_string()),
    };
    let order = GenerateOrder {
        request_id: call.request_id,
        model: call.model,
        manifest: call.manifest,
        prompt: call.prompt,
        max_tokens: call.max_tokens,
        seed: call.seed,
        priority: call.priority,
        resume_from: 0,
        deadline_ms: call.deadline_ms,
    };
    let url = format!("{}/v1/generate", state.settings.backend.url());
    let engine = HttpClient::to_platform().request(actix_web::http::Method::POST, &url);
    match engine.send_json(&order).await {
        Ok(response) => HttpResponse::build(response.status())
            .content_type("application/x-ndjson")
            .streaming(response),
        Err(error) => HttpResponse::BadGateway().body(error.to_string()),
    }
}
