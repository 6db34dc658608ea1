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
use bergamotfork::standin::Handle;
use bergamotfork::weights::ChunkBitmap;
use bergamotfork::weights::ChunkFrame;
use bergamotfork::weights::PeerStatus;
use bergamotfork::weights::ReadOutcome;

fn note() -> PeerStatus {
    PeerStatus {
        have: ChunkBitmap::complete(CHUNKS),
        queue: 0,
        serving: false,
    }
}

async fn wrong_chunk() -> HttpResponse {
    let mut body = ChunkFrame::encode_header(ReadOutcome::Sent, note()).expect("it encodes");
    body.resize(body.len() + CHUNK_BYTES as usize, 7);
    HttpResponse::Ok().body(body)
}

/// A peer that says it holds everything and sends wrong bytes.
fn lying_peer() -> Handle {
    serve(any_port(), &ServeOptions::default(), |app| {
        app.route(
            "/x/weights/{m}/have",
            web::post().to(async || rmp_response(&note())),
        )
        .route("/x/weights/{m}/{i}", web::post().to(wrong_chunk));
    })
    .expect("the address is free")
}

/// A peer that says it holds everything and stalls in each chunk.
fn stalling_peer() -> Handle {
    serve(any_port(), &ServeOptions::default(), |app| {
        app.route(
            "/x/weights/{m}/have",
            web::post().to(async || rmp_response(&note())),
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
    let liar = lying_peer();
    let hosts = hosts(3);
    let mut list = members(&hosts);
    list.push(member("liar", liar.address()));
    for host in &hosts {
        host.fetch(&published.origin, &published.manifest, &list);
    }
    for host in &hosts {
        host.verified(&published.manifest).await;
    }
    let rejected =
        |host: &crate::fleet::Host| host.counted("bergamotfork_chunks_rejected", "wrong_digest");
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
        host.fetch(&published.origin, &published.manifest, &list);
    }
    for host in &hosts {
        host.verified(&published.manifest).await;
    }
}

#[actix_rt::test]
async fn transfer_peer_unresponsive() {
    let published = published_origin().await;
    // Connections are made by the kernel, but nobody reads from them.
    let frozen = TcpListener::bind(any_port()).expect("the address is free");
    let address = frozen.local_addr().expect("it is bound");
    let hosts = hosts(3);
    let mut list = members(&hosts);
    list.push(member("frozen", address));
    for host in &hosts {
        host.fetch(&published.origin, &published.manifest, &list);
    }
    for host in &hosts {
        host.verified(&published.manifest).await;
    }
}
