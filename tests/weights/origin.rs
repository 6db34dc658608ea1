use std::net::SocketAddr;

use actix_web::http::Method;
use serde_json::Value;
use serde_json::json;

use bergamotfork::clients::OriginClient;
use bergamotfork::clients::OriginError;
use bergamotfork::links::HttpClient;
use bergamotfork::standin::HttpServerHandle;
use bergamotfork::standin::origin;
use bergamotfork::standin::origin::OriginOptions;
use bergamotfork::standin::origin::OriginStats;
use bergamotfork::weights::Digest;

const TIMEOUT_MS: u64 = 5000;

/// Starts an origin with one published version.
async fn start_origin() -> (HttpServerHandle, OriginClient, Digest) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let handle = origin::start(OriginOptions {
        listen,
        rate_bytes_per_s: 0,
        burst_bytes: 0,
    })
    .await
    .expect("the address is free");
    let publication = json!({"model": "chat", "version": "v1", "size_bytes": 1000, "chunk_bytes": 300, "seed": 4});
    let answer = send(&handle, "/v1/publish", publication).await;
    let digest = answer["manifest"]
        .as_str()
        .and_then(|hex| hex.parse().ok())
        .expect("a digest is answered");
    (handle.clone(), OriginClient::new(handle.url()), digest)
}

async fn send(handle: &HttpServerHandle, path: &str, body: Value) -> Value {
    HttpClient::to_platform()
        .send_json(
            Method::POST,
            &format!("{}{path}", handle.url()),
            &body,
            TIMEOUT_MS,
        )
        .await
        .expect("the origin answers")
}

#[actix_rt::test]
async fn origin_manifest_and_chunks() {
    let (handle, client, digest) = start_origin().await;
    let manifest = client
        .fetch_manifest("chat", "v1")
        .await
        .expect("the version was published");
    assert_eq!(manifest.validate_with_digest(digest), Ok(()));
    for index in 0..4 {
        let chunk = client
            .fetch_chunk(digest, index, TIMEOUT_MS)
            .await
            .expect("the chunk is available");
        assert_eq!(Digest::of_bytes(&chunk), manifest.chunks[index as usize]);
    }
    let stats: OriginStats = HttpClient::to_platform()
        .get_json(&format!("{}/stats", handle.url()), TIMEOUT_MS)
        .await
        .expect("the origin answers");
    assert_eq!(stats.chunk_bytes_sent, 1000);
}

#[actix_rt::test]
async fn origin_corrupt_and_truncated_chunks() {
    let (handle, client, digest) = start_origin().await;
    let faults = json!({"corrupt_chunk": 1, "corrupt_times": 1, "truncate_chunk": 2});
    send(&handle, "/fault", faults).await;
    let corrupt = client
        .fetch_chunk(digest, 1, TIMEOUT_MS)
        .await
        .expect("the chunk is available");
    let intact = client
        .fetch_chunk(digest, 1, TIMEOUT_MS)
        .await
        .expect("the chunk is available");
    assert_ne!(corrupt, intact);
    let truncated = client
        .fetch_chunk(digest, 2, TIMEOUT_MS)
        .await
        .expect("the chunk is available");
    assert_eq!(truncated.len(), 150);
}

#[actix_rt::test]
async fn origin_limited_with_retry_after() {
    let (handle, client, digest) = start_origin().await;
    let refuse = json!({"refuse": {"status": 429, "retry_after_s": 3, "count": 1}});
    send(&handle, "/fault", refuse).await;
    let refused = client.fetch_chunk(digest, 0, TIMEOUT_MS).await;
    assert_eq!(
        refused,
        Err(OriginError::RateLimited {
            retry_after_ms: 3000
        })
    );
    assert!(client.fetch_chunk(digest, 0, TIMEOUT_MS).await.is_ok());
}

#[actix_rt::test]
async fn origin_manifest_missing() {
    let (handle, client, _) = start_origin().await;
    assert_eq!(
        client.fetch_manifest("chat", "v9").await,
        Err(OriginError::Missing)
    );
    send(&handle, "/fault", json!({"manifest_missing": true})).await;
    assert_eq!(
        client.fetch_manifest("chat", "v1").await,
        Err(OriginError::Missing)
    );
}
