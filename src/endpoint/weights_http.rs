use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::timeout;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::body::BodyStream;
use actix_web::body::SizedStream;
use actix_web::web;
use actix_web::web::ServiceConfig;
use bytes::Bytes;
use futures_util::stream;

use super::WeightsState;
use super::WeightsVersion;
use crate::links::decode_rmp;
use crate::links::has_shared_key;
use crate::links::rmp_response;
use crate::observe::CounterKind;
use crate::weights::ChunkFrame;
use crate::weights::Digest;
use crate::weights::PeerRequest;
use crate::weights::PeerStatus;
use crate::weights::ReadOutcome;

/// Largest number of chunk reads of one version that a host serves concurrently.
const MAX_UPLOADS: u32 = 4;

/// Longest time for which a status request waits for new chunks, in milliseconds.
const MAX_STATUS_WAIT_MS: u64 = 5000;

/// Hosts whose weights a server offers.
#[derive(Debug, Clone)]
pub struct WeightsHosts {
    shared_key: String,
    /// State of each host, sorted by the address that it listens on.
    hosts: Vec<(SocketAddr, Arc<WeightsState>)>,
}

impl WeightsHosts {
    /// A single host, at any address.
    pub fn single(weights: Arc<WeightsState>, shared_key: impl Into<String>) -> Self {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        Self::multiple(vec![(unspecified, weights)], shared_key)
    }

    /// Several hosts, each with an address of its own.
    pub fn multiple(
        mut hosts: Vec<(SocketAddr, Arc<WeightsState>)>,
        shared_key: impl Into<String>,
    ) -> Self {
        hosts.sort_unstable_by_key(|(address, _)| *address);
        Self {
            shared_key: shared_key.into(),
            hosts,
        }
    }

    /// State of the host that the request was sent to.
    fn weights_state(&self, request: &HttpRequest) -> Option<&Arc<WeightsState>> {
        if let [(_, only)] = self.hosts.as_slice() {
            return Some(only);
        }
        let address = request.app_config().local_addr();
        let at = self
            .hosts
            .binary_search_by_key(&address, |(address, _)| *address);
        at.ok().map(|at| &self.hosts[at].1)
    }
}

/// Adds the routes that peers and the engine of the host use.
pub fn configure_weights_routes(app: &mut ServiceConfig, hosts: WeightsHosts) {
    app.app_data(web::Data::new(hosts))
        .route("/x/weights/{manifest}/have", web::post().to(handle_status))
        .route(
            "/x/weights/{manifest}/{index}",
            web::post().to(handle_chunk),
        )
        .route("/x/local/{manifest}", web::get().to(handle_engine_read));
}

fn unknown_version_response() -> HttpResponse {
    HttpResponse::NotFound().body("this host does not hold the version")
}

/// Why a request of a peer is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerRefusal {
    /// The request does not carry the shared key.
    WrongKey,
    /// This host does not track the version.
    UnknownVersion,
    /// The version is held on this host.
    Held,
}

impl PeerRefusal {
    fn response(self) -> HttpResponse {
        match self {
            Self::WrongKey => HttpResponse::Unauthorized().body("wrong shared key"),
            Self::UnknownVersion => unknown_version_response(),
            Self::Held => HttpResponse::Gone().body("this host can't proceed with the version"),
        }
    }
}

/// Host and version that a request of a peer is for.
fn find_version(
    hosts: &WeightsHosts,
    request: &HttpRequest,
    manifest: &str,
) -> Result<(Arc<WeightsState>, Arc<WeightsVersion>), PeerRefusal> {
    if !has_shared_key(request, &hosts.shared_key) {
        return Err(PeerRefusal::WrongKey);
    }
    let weights = hosts
        .weights_state(request)
        .ok_or(PeerRefusal::UnknownVersion)?;
    let digest = manifest.parse::<Digest>().ok();
    let version = digest.and_then(|digest| weights.version(digest));
    let version = version.ok_or(PeerRefusal::UnknownVersion)?;
    if version.hold_reason().is_some() {
        return Err(PeerRefusal::Held);
    }
    Ok((Arc::clone(weights), version))
}

/// Responds with the status of this host; waits for chunks that the peer does not know of.
async fn handle_status(
    hosts: web::Data<WeightsHosts>,
    request: HttpRequest,
    manifest: web::Path<String>,
    body: Bytes,
) -> HttpResponse {
    let (weights, version) = match find_version(&hosts, &request, &manifest) {
        Ok(found) => found,
        Err(refusal) => return refusal.response(),
    };
    let Ok(peer_request) = decode_rmp::<PeerRequest>(&body) else {
        return HttpResponse::BadRequest().body("the request body could not be decoded");
    };
    let known = peer_request.known;
    let wait = Duration::from_millis(peer_request.wait_ms.min(MAX_STATUS_WAIT_MS));
    version.add_peer_request(peer_request);
    // After the timeout the current status is sent.
    let _ = timeout(wait, wait_for_new_chunks(&version, known)).await;
    match version.peer_status() {
        Some(status) => {
            weights.record_control_traffic(status_bytes(&body, &status), "asked");
            rmp_response(&status)
        }
        None => unknown_version_response(),
    }
}

/// Size of a status request and its response, in bytes.
fn status_bytes(peer_request: &Bytes, status: &PeerStatus) -> u64 {
    peer_request.len() as u64 + status.have.encode().len() as u64
}

/// Waits until the version holds more than `known` chunks.
async fn wait_for_new_chunks(version: &WeightsVersion, known: u32) {
    loop {
        let generation = version.signal.generation();
        if version
            .held_chunks()
            .is_some_and(|have| have.held_count() > known)
        {
            return;
        }
        version.signal.wait_for_change(generation).await;
    }
}

/// Sends one chunk to a peer at the rate of the links, or responds that it is busy.
async fn handle_chunk(
    hosts: web::Data<WeightsHosts>,
    request: HttpRequest,
    path: web::Path<(String, u32)>,
    body: Bytes,
) -> HttpResponse {
    let (manifest, index) = path.into_inner();
    let (weights, version) = match find_version(&hosts, &request, &manifest) {
        Ok(found) => found,
        Err(refusal) => return refusal.response(),
    };
    let Ok(peer_request) = decode_rmp::<PeerRequest>(&body) else {
        return HttpResponse::BadRequest().body("the request body could not be decoded");
    };
    let region = peer_request.region.clone();
    version.add_peer_request(peer_request);
    weights.record_control_traffic(body.len() as u64, "asked");
    let Some(chunk) = version.chunk(index) else {
        return frame_response(&version, ReadOutcome::Absent, Bytes::new());
    };
    if weights.links.is_congested(&region) {
        return frame_response(&version, ReadOutcome::Busy, Bytes::new());
    }
    let Some(_upload) = version.start_upload(MAX_UPLOADS) else {
        return frame_response(&version, ReadOutcome::Busy, Bytes::new());
    };
    weights
        .links
        .wait_for_upload(chunk.len() as u64, &region)
        .await;
    weights.metrics.add(
        CounterKind::WeightBytes,
        chunk.len() as u64,
        "direction",
        "up",
    );
    frame_response(&version, ReadOutcome::Sent, chunk)
}

/// Response with a chunk frame; `chunk` is empty unless the outcome is `Sent`.
fn frame_response(version: &WeightsVersion, outcome: ReadOutcome, chunk: Bytes) -> HttpResponse {
    let Some(status) = version.peer_status() else {
        return unknown_version_response();
    };
    let Some(header) = ChunkFrame::encode_header(outcome, status) else {
        return HttpResponse::InternalServerError().body("the frame header could not be encoded");
    };
    let size = (header.len() + chunk.len()) as u64;
    let parts = [Bytes::from(header), chunk].map(Ok::<_, actix_web::Error>);
    HttpResponse::Ok().body(SizedStream::new(size, stream::iter(parts)))
}

/// Streams all chunks of a verified version to the engine of this host.
async fn handle_engine_read(
    hosts: web::Data<WeightsHosts>,
    request: HttpRequest,
    manifest: web::Path<String>,
) -> HttpResponse {
    let is_local = request.peer_addr().is_some_and(|peer| {
        peer.ip() == request.app_config().local_addr().ip() || peer.ip().is_loopback()
    });
    let chunks = hosts
        .weights_state(&request)
        .zip(manifest.parse::<Digest>().ok())
        .and_then(|(weights, digest)| weights.version(digest))
        .and_then(|version| version.loadable_chunks());
    match chunks {
        Some(chunks) if is_local => {
            let parts = chunks.into_iter().map(Ok::<_, actix_web::Error>);
            HttpResponse::Ok().body(BodyStream::new(stream::iter(parts)))
        }
        Some(_) => HttpResponse::Forbidden().body("only the engine of this host may read here"),
        None => unknown_version_response(),
    }
}
