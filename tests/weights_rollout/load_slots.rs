use std::sync::atomic::Ordering;

use crate::proxy::start_proxy;
use crate::site::LIMIT_S;
use crate::site::Site;
use crate::support::until;

#[actix_rt::test]
async fn rollout_hosts_keep_serving() {
    let site = Site::new(3, &[]).await;
    let first = site.publish("chat", "v1", None).await;
    let revision = site
        .edit_model("chat", 0, "v1", first, "replicas = 3")
        .await;
    site.wait_loaded_by_all(&[first]).await;
    let second = site.publish("chat", "version2", None).await;
    site.edit_model("chat", revision, "version2", second, "replicas = 3")
        .await;
    until(
        "all engines have loaded only the new version",
        LIMIT_S,
        async || {
            let mut all_switched = true;
            for backend in &site.engines {
                let loaded = site.loaded_manifests(backend).await?;
                assert!(!loaded.is_empty(), "{backend} serves nothing");
                all_switched &= loaded == [second];
            }
            all_switched.then_some(())
        },
    )
    .await;
}

#[actix_rt::test]
async fn rollout_preceding_host_paused() {
    let mut site = Site::new(3, &[]).await;
    let first = site.publish("chat", "v1", None).await;
    let revision = site
        .edit_model("chat", 0, "v1", first, "replicas = 3")
        .await;
    site.wait_loaded_by_all(&[first]).await;
    let second = site.publish("chat", "version2", None).await;
    site.cluster.process("engine-1").signal("STOP");
    let revision = site
        .edit_model("chat", revision, "version2", second, "replicas = 3")
        .await;
    let third = site.publish("chat", "version-3", None).await;
    site.edit_model("chat", revision, "version-3", third, "replicas = 3")
        .await;
    site.cluster.process("engine-1").signal("CONT");
    // The host that was paused skips the version that was replaced in the meantime.
    site.wait_loaded_by_all(&[third]).await;
}

#[actix_rt::test]
async fn rollout_engine_restarts_empty() {
    let mut site = Site::new(1, &[]).await;
    let first = site.publish("chat", "v1", None).await;
    site.edit_model("chat", 0, "v1", first, "replicas = 1")
        .await;
    site.wait_loaded_by_all(&[first]).await;
    site.cluster.process("engine-0-engine").kill();
    let backend = site.engines[0].clone();
    site.cluster.start_bare_engine("engine-0-engine", &backend);
    site.wait_loaded_by_all(&[first]).await;
}

#[actix_rt::test]
async fn rollout_engine_reply_lost() {
    let mut site = Site::new(0, &[]).await;
    let backend = site.cluster.unused_address();
    site.cluster.start_bare_engine("engine", &backend);
    let (handle, proxy) = start_proxy(&backend, 1);
    let address = handle.address().to_string();
    site.cluster
        .start_endpoint("host", "or-north", &address, "")
        .await;
    let first = site.publish("chat", "v1", None).await;
    site.edit_model("chat", 0, "v1", first, "replicas = 1")
        .await;
    until("the status shows a serving replica", LIMIT_S, async || {
        let status = site.status().await?;
        (status.models.first()?.serving == 1).then_some(())
    })
    .await;
    // The endpoint learns the outcome of the lost reply from the engine's state, so it
    // sends no second order to load.
    assert_eq!(proxy.loads.load(Ordering::SeqCst), 1);
}
