use crate::cut_source::CUT_CONTENT;
use crate::cut_source::start_cut_source;
use crate::site::LIMIT_S;
use crate::site::Site;
use crate::support::until;
use bergamotfork::clients::EngineClient;
use bergamotfork::clients::FencingNumber;
use bergamotfork::clients::LoadOrder;
use bergamotfork::weights::Digest;

/// Has the engine at `backend` carry out an order for `manifest` whose source breaks off, as
/// when the process that gave it was killed.
async fn load_cut_content(backend: &str, manifest: Digest) {
    let engine = EngineClient::new(backend.parse().expect("an address"));
    let order = LoadOrder {
        order: FencingNumber {
            offset: 0,
            incarnation: 0,
            sequence: 0,
        },
        model: "chat".to_owned(),
        version: "v1".to_owned(),
        manifest,
        // The stand-in takes what the order names; an engine may not compare at all.
        whole: Digest::of_bytes(CUT_CONTENT),
        base: None,
        source_url: format!("http://{}/", start_cut_source()),
    };
    let answer = engine.load(&order).await;
    let answer = answer.expect("the engine takes the cut content");
    assert_eq!(answer.whole, Digest::of_bytes(CUT_CONTENT));
}

/// Waits until the engine at `backend` has `manifest` loaded with its own content.
async fn wait_content_right(site: &Site, backend: &str, manifest: Digest) {
    until("the engine has the right content", LIMIT_S, async || {
        let loaded = site.loaded_weights(backend).await?;
        let found = loaded.iter().find(|loaded| loaded.manifest == manifest)?;
        (found.whole != Digest::of_bytes(CUT_CONTENT)).then_some(())
    })
    .await;
}

// An engine that has other content under the manifest was never told to load it again.
#[actix_rt::test]
async fn rollout_engine_holds_other_content() {
    let mut site = Site::new(0, &[]).await;
    let backend = site.start_engine("engine").await;
    let first = site.publish("chat", "v1", None).await;
    load_cut_content(&backend, first).await;
    site.cluster
        .start_endpoint("host", "or-north", &backend, "")
        .await;
    site.edit_model("chat", 0, "v1", first, "replicas = 1")
        .await;
    wait_content_right(&site, &backend, first).await;
    site.wait_serving("chat").await;
}

// A late order may replace content that is served; it was served on, as only the manifest
// was compared.
#[actix_rt::test]
async fn rollout_serving_engine_takes_other_content() {
    let site = Site::new(1, &[]).await;
    let backend = site.engines[0].clone();
    let first = site.publish("chat", "v1", None).await;
    site.edit_model("chat", 0, "v1", first, "replicas = 1")
        .await;
    site.wait_serving("chat").await;
    load_cut_content(&backend, first).await;
    wait_content_right(&site, &backend, first).await;
    site.wait_serving("chat").await;
}
