use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_rt::time::sleep;

use crate::proxy::start_proxy;
use crate::site::LIMIT_S;
use crate::site::Site;
use crate::support::until;
use bergamotfork::standin::engine;
use bergamotfork::standin::engine::EngineOptions;

/// Time after which the order to unload a replaced version is due, with a margin.
const UNLOAD_DELAY: Duration = Duration::from_millis(5500);

// An order to unload that had no answer was taken for one that was not given, and took the
// version away after it was wanted and served again.
#[actix_rt::test]
async fn rollout_unanswered_unload_accepted_later() {
    let mut site = Site::new(0, &[]).await;
    let options = EngineOptions::new(SocketAddr::from(([127, 0, 0, 1], 0)));
    let engine = engine::start(options).await.expect("the address is free");
    let backend = engine.address().to_string();
    let (handle, proxy) = start_proxy(&backend, 0);
    proxy.keeps_unloads.store(true, Ordering::SeqCst);
    let address = handle.address().to_string();
    site.cluster
        .start_endpoint("host", "or-north", &address, "")
        .await;
    let first = site.publish("chat", "v1", None).await;
    let revision = site
        .edit_model("chat", 0, "v1", first, "replicas = 1")
        .await;
    site.wait_serving("chat").await;
    let second = site.publish("chat", "version2", None).await;
    let revision = site
        .edit_model("chat", revision, "version2", second, "replicas = 1")
        .await;
    let late_order = until("an order to unload is given", LIMIT_S, async || {
        proxy.first_kept_unload()
    })
    .await;
    site.edit_model("chat", revision, "v1", first, "replicas = 1")
        .await;
    site.wait_version_serving("chat", first).await;
    let accepted = proxy.send_kept_unload(late_order).await;
    let loaded = site.loaded_manifests(&backend).await;
    assert!(loaded.expect("the engine runs").contains(&first));
    assert!(!accepted);
}

// While one version was loading, another was wanted again; it was unloaded all the same, as
// what was wanted before the load counted.
#[actix_rt::test]
async fn rollout_wanted_again_during_other_load() {
    let mut site = Site::new(0, &[]).await;
    let options = EngineOptions::new(SocketAddr::from(([127, 0, 0, 1], 0)));
    let engine = engine::start(options).await.expect("the address is free");
    let (handle, proxy) = start_proxy(&engine.address().to_string(), 0);
    proxy.keeps_unloads.store(true, Ordering::SeqCst);
    let address = handle.address().to_string();
    site.cluster
        .start_endpoint("host", "or-north", &address, "")
        .await;
    let first = site.publish("chat", "v1", None).await;
    let revision = site
        .edit_model("chat", 0, "v1", first, "replicas = 1")
        .await;
    site.wait_version_serving("chat", first).await;
    let second = site.publish("chat", "version2", None).await;
    let other = site.publish("tides", "v1", None).await;
    let revision = site
        .edit_model("chat", revision, "version2", second, "replicas = 1")
        .await;
    site.wait_version_serving("chat", second).await;
    let gate = proxy.load_gate.write().await;
    site.edit_model("tides", 0, "v1", other, "replicas = 1")
        .await;
    until("the other model is ordered", LIMIT_S, async || {
        (proxy.loads_received.load(Ordering::SeqCst) == 3).then_some(())
    })
    .await;
    assert_eq!(proxy.first_kept_unload(), None);
    let offset = site
        .edit_model("chat", revision, "v1", first, "replicas = 1")
        .await;
    site.wait_config_offset("host", offset).await;
    // The order to unload is due some time after the last report of the version.
    sleep(UNLOAD_DELAY).await;
    drop(gate);
    site.wait_version_serving("chat", first).await;
    assert_eq!(proxy.first_kept_unload(), None);
}

// A process that was frozen during a load unloaded a version that was wanted again in the
// meantime, by the configuration from before.
#[actix_rt::test]
async fn rollout_wanted_again_while_frozen() {
    let mut site = Site::new(0, &[]).await;
    let options = EngineOptions::new(SocketAddr::from(([127, 0, 0, 1], 0)));
    let engine = engine::start(options).await.expect("the address is free");
    let (handle, proxy) = start_proxy(&engine.address().to_string(), 0);
    proxy.keeps_unloads.store(true, Ordering::SeqCst);
    let address = handle.address().to_string();
    site.cluster
        .start_endpoint("host", "or-north", &address, "")
        .await;
    let first = site.publish("chat", "v1", None).await;
    let revision = site
        .edit_model("chat", 0, "v1", first, "replicas = 1")
        .await;
    site.wait_version_serving("chat", first).await;
    let second = site.publish("chat", "version2", None).await;
    let other = site.publish("tides", "v1", None).await;
    let revision = site
        .edit_model("chat", revision, "version2", second, "replicas = 1")
        .await;
    site.wait_version_serving("chat", second).await;
    let gate = proxy.load_gate.write().await;
    site.edit_model("tides", 0, "v1", other, "replicas = 1")
        .await;
    until("the other model is ordered", LIMIT_S, async || {
        (proxy.loads_received.load(Ordering::SeqCst) == 3).then_some(())
    })
    .await;
    assert_eq!(proxy.first_kept_unload(), None);
    site.cluster.process("host").signal("STOP");
    site.edit_model("chat", revision, "v1", first, "replicas = 1")
        .await;
    // The order to unload is due some time after the last report of the version.
    sleep(UNLOAD_DELAY).await;
    drop(gate);
    site.cluster.process("host").signal("CONT");
    site.wait_version_serving("chat", first).await;
    assert_eq!(proxy.first_kept_unload(), None);
}
