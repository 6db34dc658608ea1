use actix_web::http::Method;
use serde_json::Value;
use serde_json::json;

use crate::support::Cluster;
use crate::support::TOKEN;
use crate::support::until;
use bergamotfork::clients::EngineState;
use bergamotfork::clients::LoadedWeights;
use bergamotfork::entry::StatusView;
use bergamotfork::links::HttpClient;
use bergamotfork::weights::Digest;

pub const MODEL_BYTES: u64 = 1 << 20;
pub const LIMIT_S: u64 = 40;
const REGION: &str = "or-north";

/// A cluster of separate processes: one entry, and endpoints with their engines.
pub struct Site {
    pub cluster: Cluster,
    pub entry: String,
    /// Addresses of the engines' HTTP servers.
    pub engines: Vec<String>,
}

impl Site {
    /// Starts the cluster with `engines` engines.
    pub async fn new(engines: usize, engine_args: &[&str]) -> Self {
        let mut cluster = Cluster::new().await;
        let entry = cluster.start_entry("entry-1", REGION, "").await;
        let mut backends = Vec::new();
        for number in 0..engines {
            let address = cluster
                .start_engine(&format!("engine-{number}"), REGION, engine_args)
                .await;
            backends.push(cluster.backend_of(&address));
        }
        Self {
            cluster,
            entry,
            engines: backends,
        }
    }

    /// Publishes a version and returns its manifest's digest.
    pub async fn publish(&self, model: &str, version: &str, base: Option<Digest>) -> Digest {
        let publication = json!({
            "model": model, "version": version, "size_bytes": MODEL_BYTES,
            "chunk_bytes": 32_768, "seed": version.len() + model.len() * 100, "base": base,
        });
        let url = format!("{}/v1/publish", self.cluster.origin_url());
        let answer: Value = HttpClient::to_platform()
            .send_json(Method::POST, &url, &publication, 10_000)
            .await
            .expect("the origin accepts the version");
        serde_json::from_value(answer["manifest"].clone()).expect("a digest is answered")
    }

    /// Replaces the model's section of the configuration; returns its new revision.
    pub async fn edit_model(
        &self,
        model: &str,
        revision: u64,
        version: &str,
        manifest: Digest,
        other_keys: &str,
    ) -> u64 {
        let body = format!("version = {version}\nmanifest = {manifest}\n{other_keys}\n");
        let section = format!("model {model}");
        let offset = self.cluster.append_edit(&section, revision, &body).await;
        offset + 1
    }

    /// Starts an engine without an endpoint and returns its address once it listens.
    pub async fn start_engine(&mut self, name: &str) -> String {
        let backend = self.cluster.unused_address();
        self.cluster.start_bare_engine(name, &backend);
        until("the engine listens", LIMIT_S, async || {
            self.loaded_weights(&backend).await
        })
        .await;
        backend
    }

    /// Weights loaded by the engine at `backend`; None while it doesn't respond.
    pub async fn loaded_weights(&self, backend: &str) -> Option<Vec<LoadedWeights>> {
        let url = format!("http://{backend}/v1/state");
        let state: EngineState = HttpClient::to_platform().get_json(&url, 2000).await.ok()?;
        Some(state.loaded)
    }

    /// Manifests loaded by the engine at `backend`; None while it doesn't respond.
    pub async fn loaded_manifests(&self, backend: &str) -> Option<Vec<Digest>> {
        let loaded = self.loaded_weights(backend).await?;
        Some(loaded.iter().map(|loaded| loaded.manifest).collect())
    }

    /// Waits until every engine has loaded exactly `manifests`.
    pub async fn wait_loaded_by_all(&self, manifests: &[Digest]) {
        for backend in &self.engines {
            until(
                &format!("{backend} has loaded {manifests:?}"),
                LIMIT_S,
                async || {
                    let loaded = self.loaded_manifests(backend).await?;
                    let same = loaded.len() == manifests.len()
                        && manifests.iter().all(|one| loaded.contains(one));
                    same.then_some(())
                },
            )
            .await;
        }
    }

    /// Status from the entry; None while it doesn't respond.
    pub async fn status(&self) -> Option<StatusView> {
        let request = HttpClient::to_platform()
            .request(Method::GET, &format!("{}/v1/status", self.entry))
            .insert_header(("authorization", format!("Bearer {TOKEN}")));
        let body = HttpClient::send_and_read(request, Vec::new(), 2000)
            .await
            .ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Waits until the status shows a serving replica of `model`.
    pub async fn wait_serving(&self, model: &str) {
        until(&format!("{model} is served"), LIMIT_S, async || {
            let status = self.status().await?;
            let view = status.models.into_iter().find(|view| view.name == model)?;
            (view.serving == 1).then_some(())
        })
        .await;
    }

    /// Waits until the configuration of the host `name` is at `offset` or later.
    pub async fn wait_config_offset(&self, name: &str, offset: u64) {
        until(&format!("{name} is at {offset}"), LIMIT_S, async || {
            let status = self.status().await?;
            let host = status.hosts.into_iter().find(|host| host.name == name)?;
            (host.config_offset? >= offset).then_some(())
        })
        .await;
    }

    /// Waits until the status shows a serving replica of version `manifest` of `model`.
    pub async fn wait_version_serving(&self, model: &str, manifest: Digest) {
        until(&format!("{manifest} is served"), LIMIT_S, async || {
            let status = self.status().await?;
            let view = status.models.into_iter().find(|view| view.name == model)?;
            (view.manifest == manifest && view.serving == 1).then_some(())
        })
        .await;
    }

    /// Waits until `model` is held on a host for a cause that contains `text`.
    pub async fn wait_held(&self, model: &str, text: &str) {
        until(&format!("{model} is held: {text}"), LIMIT_S, async || {
            let status = self.status().await?;
            let view = status.models.into_iter().find(|view| view.name == model)?;
            view.held
                .iter()
                .any(|hold| hold.cause.contains(text))
                .then_some(())
        })
        .await;
    }
}
