use std::net::TcpListener;
use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::web;

use crate::fleet::CHUNK_BYTES;
use crate::fleet::CHUNKS;
use crate::fleet::any_port;
use crate::fleet::hosts;
use crate::fleet::member;
use crate::fleet::members;
use crate::fleet::published_origin;
use bergamotfork::links::ServeOptions;
use bergamotfork::links::rmp_response;
use bergamotfork::links::serve;
use bergamotfork::standin::HttpServerHandle;
use bergamotfork::weights::ChunkBitmap;
use bergamotfork::weights::ChunkFrame;
use bergamotfork::weights::PeerStatus;
use bergamotfork::weights::ReadOutcome;

/// Status of a peer that holds every chunk.
fn complete_status() -> PeerStatus {
    PeerStatus {
        have: ChunkBitmap::complete(CHUNKS),
        queue: 0,
        serving: false,
    }
}

async fn send_wrong_chunk() -> HttpResponse {
    let mut body = ChunkFrame::encode_header(ReadOutcome::Sent, complete_status())
        .expect("the header encodes");
    body.resize(body.len() + CHUNK_BYTES as usize, 7);
    HttpResponse::Ok().body(body)
}

/// A peer that reports every chunk as held and sends wrong bytes.
fn corrupting_peer() -> HttpServerHandle {
    serve(any_port(), &ServeOptions::default(), |app| {
        app.route(
            "/x/weights/{m}/have",
            web::post().to(async || rmp_response(&complete_status())),
        )
        .route("/x/weights/{m}/{i}", web::post().to(send_wrong_chunk));
    })
    .expect("the address is free")
}

/// A peer that reports every chunk as held and never responds to a read.
fn stalling_peer() -> HttpServerHandle {
    serve(any_port(), &ServeOptions::default(), |app| {
        app.route(
            "/x/weights/{m}/have",
            web::post().to(async || rmp_response(&complete_status())),
        )
        .route(
            "/x/weights/{m}/{i}",
            web::post().to(async || {
                actix_rt::time::sleep(Duration::from_secs(600)).await;
                HttpResponse::Ok().finish()
            }),
        );
    })
    .expect("the address is free")
}

#[actix_rt::test]
async fn transfer_chunks_corrupted_by_peer() {
    let published = published_origin().await;
    let corrupting = corrupting_peer();
    let hosts = hosts(3);
    let mut list = members(&hosts);
    list.push(member("liar", corrupting.address()));
    for host in &hosts {
        host.start_transfer(&published.origin, &published.manifest, &list);
    }
    for host in &hosts {
        host.wait_verified(&published.manifest).await;
    }
    let rejected = |host: &crate::fleet::Host| {
        host.has_counted("bergamotfork_chunks_rejected", "wrong_digest")
    };
    assert!(hosts.iter().any(rejected));
}

#[actix_rt::test]
async fn transfer_peer_stalls() {
    let published = published_origin().await;
    let stalling = stalling_peer();
    let hosts = hosts(3);
    let mut list = members(&hosts);
    list.push(member("stalling", stalling.address()));
    for host in &hosts {
        host.start_transfer(&published.origin, &published.manifest, &list);
    }
    for host in &hosts {
        host.wait_verified(&published.manifest).await;
    }
}

#[actix_rt::test]
async fn transfer_peer_unresponsive() {
    let published = published_origin().await;
    // The kernel accepts connections, but no process reads from them.
    let frozen = TcpListener::bind(any_port()).expect("the address is free");
    let address = frozen.local_addr().expect("the listener is bound");
    let hosts = hosts(3);
    let mut list = members(&hosts);
    list.push(member("frozen", address));
    for host in &hosts {
        host.start_transfer(&published.origin, &published.manifest, &list);
    }
    for host in &hosts {
        host.wait_verified(&published.manifest).await;
    }
}
