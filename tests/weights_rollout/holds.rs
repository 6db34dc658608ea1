use serde_json::json;

use crate::site::Site;

#[actix_rt::test]
async fn rollout_adapter_base_not_loaded() {
    let site = Site::new(2, &[]).await;
    let base = site.publish("chat", "v1", None).await;
    let adapter = site.publish("tides", "v1", Some(base)).await;
    let more = "replicas = 2\nbase = chat";
    site.edit_model("tides", 0, "v1", adapter, more).await;
    site.wait_held("tides", "is not loaded").await;
    for backend in &site.engines {
        assert_eq!(site.loaded_manifests(backend).await, Some(Vec::new()));
    }
    site.edit_model("chat", 0, "v1", base, "replicas = 2").await;
    site.wait_loaded_by_all(&[base, adapter]).await;
}

#[actix_rt::test]
async fn rollout_manifest_wrong_then_right() {
    let site = Site::new(1, &[]).await;
    let first = site.publish("chat", "v1", None).await;
    let origin = site.cluster.origin_url();
    site.cluster
        .set_faults(&origin, &json!({"manifest_wrong": true}))
        .await;
    site.edit_model("chat", 0, "v1", first, "replicas = 1")
        .await;
    site.wait_held("chat", "manifest has digest").await;
    site.cluster
        .set_faults(&origin, &json!({"manifest_missing": true}))
        .await;
    site.wait_held("chat", "no such manifest").await;
    site.cluster.set_faults(&origin, &json!({})).await;
    site.wait_loaded_by_all(&[first]).await;
}

#[actix_rt::test]
async fn rollout_over_budget_reported() {
    let mut site = Site::new(0, &[]).await;
    let backend = site.cluster.unused_address();
    site.cluster.start_bare_engine("engine", &backend);
    let settings = "[weights]\nbudget_bytes = 1048576\n";
    site.cluster
        .start_endpoint("host", "or-north", &backend, settings)
        .await;
    site.engines.push(backend);
    let large = site.cluster.publish("large", "v1", 2 << 20).await;
    let large = large.parse().expect("the manifest digest parses");
    site.edit_model("large", 0, "v1", large, "replicas = 1")
        .await;
    site.wait_held("large", "does not fit").await;
    // A held version does not block another one that fits, nor its successor.
    let first = site.publish("chat", "v1", None).await;
    let revision = site
        .edit_model("chat", 0, "v1", first, "replicas = 1")
        .await;
    site.wait_loaded_by_all(&[first]).await;
    let second = site.publish("chat", "version2", None).await;
    site.edit_model("chat", revision, "version2", second, "replicas = 1")
        .await;
    site.wait_loaded_by_all(&[second]).await;
}
