use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::Bytes;

use crate::calls::GenerateCall;
use crate::calls::RefusalReason;
use crate::contracts::BranchShare;
use crate::endpoint::EndpointState;
use crate::endpoint::GenerateServer;
use crate::links::decode_call;

/// Handles a generate request of an entry: queues it and streams its frames back.
///
/// It is refused while the process is leaving or the version is not serving.
pub async fn handle_generate(
    state: web::Data<EndpointState>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let call: GenerateCall = match decode_call(&request, &body, &state.node.cluster().shared_key) {
        Ok(call) => call,
        Err(fault) => return fault.response(),
    };
    let Some(server) = &state.generate else {
        return HttpResponse::NotFound().finish();
    };
    if state.node.is_leaving() {
        return server.refuse(RefusalReason::Leaving);
    }
    let Some(version) = state.weights.version(call.manifest) else {
        return server.refuse(RefusalReason::NotReady);
    };
    let in_use = version.count_request();
    let Some(content_digest) = version.serving_content_digest() else {
        return server.refuse(RefusalReason::NotReady);
    };
    refresh_shares(&state, server);
    server.run(call, content_digest, in_use)
}

/// Sets the queue's shares from the current configuration if it has changed.
fn refresh_shares(state: &EndpointState, server: &GenerateServer) {
    let follower = state.node.follower();
    let offset = follower.fold().head();
    if server.queue().shares_offset() == Some(offset) {
        return;
    }
    let branches = follower.fold().document().branches();
    let shares = branches.iter().map(BranchShare::from);
    server.queue().set_shares(offset, shares);
}
