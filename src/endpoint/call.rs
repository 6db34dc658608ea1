use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::Method;
use actix_web::web;
use actix_web::web::Bytes;

use crate::calls::ServiceCall;
use crate::calls::ServiceReply;
use crate::endpoint::EndpointState;
use crate::links::HttpClient;
use crate::links::has_key;
use crate::links::read_rmp;
use crate::links::rmp_response;

/// Passes a call to the service and answers with its whole answer.
pub async fn call(
    state: web::Data<EndpointState>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    if !has_key(&request, &state.node.cluster().shared_key) {
        return HttpResponse::Unauthorized().finish();
    }
    let call: ServiceCall = match read_rmp(&body) {
        Ok(call) => call,
        Err(error) => return HttpResponse::BadRequest().body(error.to_string()),
    };
    let url = format!("{}/v1/call/{}", state.settings.backend.url(), call.path);
    let sending = HttpClient::to_platform()
        .fresh_request(Method::POST, &url)
        .insert_header(("content-type", "application/json"))
        .insert_header(("x-request-id", call.request_id.as_str()));
    let answer = HttpClient::exchange(sending, call.body, call.deadline_ms).await;
    match answer {
        Ok(body) => rmp_response(&ServiceReply {
            request_id: call.request_id,
            body: String::from_utf8_lossy(&body).into_owned(),
        }),
        Err(error) => HttpResponse::BadGateway().body(error.to_string()),
    }
}
