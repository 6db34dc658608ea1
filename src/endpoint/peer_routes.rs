use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;

use crate::endpoint::EndpointState;
use crate::links::has_key;
use crate::weights::Digest;

/// Gives one chunk to a peer.
pub async fn chunk(
    state: web::Data<EndpointState>,
    request: HttpRequest,
    path: web::Path<(String, u32)>,
) -> HttpResponse {
    if !has_key(&request, &state.node.cluster().shared_key) {
        return HttpResponse::Unauthorized().finish();
    }
    let (manifest, index) = path.into_inner();
    let chunk = parse(&manifest).and_then(|manifest| state.weights().chunk(manifest, index));
    match chunk {
        Some(bytes) => HttpResponse::Ok().body(bytes),
        None => HttpResponse::NotFound().finish(),
    }
}

/// Gives the whole verified weights to the engine of this host.
pub async fn whole(state: web::Data<EndpointState>, path: web::Path<String>) -> HttpResponse {
    let whole = parse(&path).and_then(|manifest| state.weights().whole(manifest));
    match whole {
        Some(chunks) => {
            let stream = chunks.into_iter().map(Ok::<_, std::io::Error>);
            HttpResponse::Ok().streaming(futures_util::stream::iter(stream))
        }
        None => HttpResponse::NotFound().finish(),
    }
}

fn parse(manifest: &str) -> Option<Digest> {
    manifest.parse().ok()
}
