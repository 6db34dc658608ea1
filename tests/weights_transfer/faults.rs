use std::time::Duration;

use actix_rt::time::sleep;
use serde_json::json;

use crate::fleet::CHUNKS;
use crate::fleet::SIZE_BYTES;
use crate::fleet::host;
use crate::fleet::host_at;
use crate::fleet::hosts;
use crate::fleet::members;
use crate::fleet::publish;
use crate::fleet::published_origin;
use crate::fleet::send;
use crate::fleet::stats;
use bergamotfork::endpoint::SetMembers;
use bergamotfork::endpoint::StopTransfer;
use bergamotfork::weights::HoldReason;

#[actix_rt::test]
async fn transfer_no_faults_one_origin_copy() {
    let published = published_origin().await;
    let hosts = hosts(6);
    let members = members(&hosts);
    for host in &hosts {
        host.start_transfer(&published.origin, &published.manifest, &members);
    }
    for host in &hosts {
        host.wait_verified(&published.manifest).await;
    }
    assert_eq!(
        stats(&published.origin).await.chunks_sent,
        u64::from(CHUNKS)
    );
}

#[actix_rt::test]
async fn transfer_chunk_corrupted_by_origin() {
    let published = published_origin().await;
    send(
        &published.origin,
        "/fault",
        json!({"corrupt_chunk": 3, "corrupt_times": 2}),
    )
    .await;
    let hosts = hosts(3);
    let members = members(&hosts);
    for host in &hosts {
        host.start_transfer(&published.origin, &published.manifest, &members);
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
async fn transfer_chunk_truncated_by_origin() {
    let published = published_origin().await;
    send(&published.origin, "/fault", json!({"truncate_chunk": 3})).await;
    let host = host("host", SIZE_BYTES);
    host.start_transfer(
        &published.origin,
        &published.manifest,
        std::slice::from_ref(&host.member),
    );
    while !host.has_counted("bergamotfork_chunks_rejected", "wrong_length") {
        sleep(Duration::from_millis(10)).await;
    }
    assert!(
        host.version(&published.manifest)
            .loadable_chunks()
            .is_none()
    );
    send(&published.origin, "/fault", json!({})).await;
    host.wait_verified(&published.manifest).await;
}

#[actix_rt::test]
async fn transfer_origin_down_then_up() {
    let published = published_origin().await;
    send(&published.origin, "/fault", json!({"down": true})).await;
    let hosts = hosts(4);
    let members = members(&hosts);
    for host in &hosts {
        host.start_transfer(&published.origin, &published.manifest, &members);
    }
    while stats(&published.origin).await.chunk_requests < 20 {
        sleep(Duration::from_millis(20)).await;
    }
    send(&published.origin, "/fault", json!({})).await;
    for host in &hosts {
        host.wait_verified(&published.manifest).await;
    }
    assert_eq!(
        stats(&published.origin).await.chunks_sent,
        u64::from(CHUNKS)
    );
}

#[actix_rt::test]
async fn transfer_origin_rate_limited() {
    let published = published_origin().await;
    let refuse = json!({"refuse": {"status": 429, "retry_after_s": 1, "count": 8}});
    send(&published.origin, "/fault", refuse).await;
    let hosts = hosts(4);
    let members = members(&hosts);
    for host in &hosts {
        host.start_transfer(&published.origin, &published.manifest, &members);
    }
    for host in &hosts {
        host.wait_verified(&published.manifest).await;
    }
    let stats = stats(&published.origin).await;
    // The two reads that each host starts at first were refused, and each was retried
    // once.
    assert!(stats.chunk_requests <= u64::from(CHUNKS) + 8, "{stats:?}");
}

#[actix_rt::test]
async fn transfer_over_budget() {
    let published = published_origin().await;
    let host = host("host", SIZE_BYTES - 1);
    let members = std::slice::from_ref(&host.member);
    assert!(
        host.start_transfer(&published.origin, &published.manifest, members)
            .is_none()
    );
    assert_eq!(
        host.version(&published.manifest).hold_reason(),
        Some(HoldReason::OverBudget {
            size_bytes: SIZE_BYTES,
            used_bytes: 0,
            limit_bytes: SIZE_BYTES - 1,
        })
    );
}

#[actix_rt::test]
async fn transfer_superseded_in_flight() {
    let published = published_origin().await;
    let slow = json!({"rate_bytes_per_s": 40_000});
    send(&published.origin, "/fault", slow).await;
    let host = host("host", SIZE_BYTES);
    let members = vec![host.member.clone()];
    let old = host
        .start_transfer(&published.origin, &published.manifest, &members)
        .expect("the version fits into the budget");
    while host
        .version(&published.manifest)
        .held_chunks()
        .is_none_or(|have| have.holds_none())
    {
        sleep(Duration::from_millis(10)).await;
    }
    let newer = publish(&published.origin, "v2", 2).await;
    send(&published.origin, "/fault", json!({})).await;
    old.send(StopTransfer).await.expect("the transfer runs");
    host.share.remove_version(published.manifest.digest());
    while host.share.budget.used_bytes() > 0 {
        sleep(Duration::from_millis(10)).await;
    }
    host.start_transfer(&published.origin, &newer, &members)
        .expect("the memory was released");
    host.wait_verified(&newer).await;
    let whole = host
        .version(&newer)
        .loadable_chunks()
        .expect("the version is verified")
        .concat();
    assert_eq!(bergamotfork::weights::Digest::of_bytes(&whole), newer.whole);
    assert!(host.share.version(published.manifest.digest()).is_none());
}

#[actix_rt::test]
async fn transfer_peer_replaced_at_same_address() {
    let published = published_origin().await;
    let slow = json!({"rate_bytes_per_s": 30_000});
    send(&published.origin, "/fault", slow).await;
    let mut hosts = hosts(4);
    let list = members(&hosts);
    for host in &hosts {
        host.start_transfer(&published.origin, &published.manifest, &list);
    }
    while hosts[3]
        .version(&published.manifest)
        .held_chunks()
        .is_none_or(|have| have.held_count() < 4)
    {
        sleep(Duration::from_millis(10)).await;
    }
    let killed = hosts.pop().expect("four hosts were started");
    killed.server.kill().await;
    let replacement = host_at("host-3", SIZE_BYTES, killed.server.address());
    replacement.start_transfer(&published.origin, &published.manifest, &list);
    send(&published.origin, "/fault", json!({})).await;
    hosts.push(replacement);
    for host in &hosts {
        host.wait_verified(&published.manifest).await;
    }
}

#[actix_rt::test]
async fn transfer_host_joins_late() {
    let published = published_origin().await;
    let hosts = hosts(3);
    let list = members(&hosts);
    let first: Vec<_> = hosts[..2]
        .iter()
        .map(|host| {
            host.start_transfer(&published.origin, &published.manifest, &list[..2])
                .expect("the version fits into the budget")
        })
        .collect();
    for transfer in first {
        // Sending fails when the transfer has already completed and stopped.
        let _ = transfer.send(SetMembers(list.clone())).await;
    }
    hosts[2].start_transfer(&published.origin, &published.manifest, &list);
    for host in &hosts {
        host.wait_verified(&published.manifest).await;
    }
}
