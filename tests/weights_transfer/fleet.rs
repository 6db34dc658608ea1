use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::Addr;
use actix_rt::time::timeout;
use actix_web::http::Method;
use serde_json::Value;
use serde_json::json;

use bergamotfork::clients::OriginClient;
use bergamotfork::endpoint::SwarmMember;
use bergamotfork::endpoint::TransferOptions;
use bergamotfork::endpoint::VersionStageKind;
use bergamotfork::endpoint::WeightLinks;
use bergamotfork::endpoint::WeightsHosts;
use bergamotfork::endpoint::WeightsState;
use bergamotfork::endpoint::WeightsTransfer;
use bergamotfork::endpoint::WeightsVersion;
use bergamotfork::endpoint::configure_weights_routes;
use bergamotfork::links::HttpClient;
use bergamotfork::links::ServeOptions;
use bergamotfork::links::serve;
use bergamotfork::observe::Metrics;
use bergamotfork::standin::HttpServerHandle;
use bergamotfork::standin::origin;
use bergamotfork::standin::origin::OriginOptions;
use bergamotfork::standin::origin::OriginStats;
use bergamotfork::weights::Manifest;
use bergamotfork::weights::MemoryBudget;
use bergamotfork::weights::PlanSettings;
use bergamotfork::weights::SwarmHost;
use bergamotfork::weights::SwarmSettings;

pub const KEY: &str = "a key";
pub const SIZE_BYTES: u64 = 64 << 10;
pub const CHUNK_BYTES: u32 = 2 << 10;
pub const CHUNKS: u32 = 32;
const CALL_TIMEOUT_MS: u64 = 5000;
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(40);

/// An origin and the manifest of the version published there.
pub struct PublishedOrigin {
    pub origin: HttpServerHandle,
    pub manifest: Manifest,
}

/// A host that takes part in transfers, with its server for peers.
pub struct Host {
    pub share: Arc<WeightsState>,
    pub server: HttpServerHandle,
    pub member: SwarmMember,
}

pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

pub async fn published_origin() -> PublishedOrigin {
    let options = OriginOptions {
        listen: any_port(),
        rate_bytes_per_s: 0,
        burst_bytes: 0,
    };
    let origin = origin::start(options).await.expect("the address is free");
    let manifest = publish(&origin, "v1", 1).await;
    PublishedOrigin { origin, manifest }
}

pub async fn publish(origin: &HttpServerHandle, version: &str, seed: u64) -> Manifest {
    let publication = json!({
        "model": "chat", "version": version, "size_bytes": SIZE_BYTES,
        "chunk_bytes": CHUNK_BYTES, "seed": seed,
    });
    send(origin, "/v1/publish", publication).await;
    OriginClient::new(origin.url())
        .fetch_manifest("chat", version)
        .await
        .expect("the version was published")
}

pub async fn send(origin: &HttpServerHandle, path: &str, body: Value) -> Value {
    HttpClient::to_platform()
        .send_json(
            Method::POST,
            &format!("{}{path}", origin.url()),
            &body,
            CALL_TIMEOUT_MS,
        )
        .await
        .expect("the origin answers")
}

pub async fn stats(origin: &HttpServerHandle) -> OriginStats {
    HttpClient::to_platform()
        .get_json(&format!("{}/stats", origin.url()), CALL_TIMEOUT_MS)
        .await
        .expect("the origin answers")
}

pub fn member(name: &str, address: SocketAddr) -> SwarmMember {
    SwarmMember {
        host: SwarmHost {
            name: name.to_owned(),
            region: "region".to_owned(),
            present: true,
        },
        address,
    }
}

pub fn host(name: &str, budget_bytes: u64) -> Host {
    host_at(name, budget_bytes, any_port())
}

pub fn host_at(name: &str, budget_bytes: u64, listen: SocketAddr) -> Host {
    let share = WeightsState::new(
        name,
        "region",
        WeightLinks::new(0, 0, 0),
        MemoryBudget::new(budget_bytes),
        Arc::new(Metrics::new()),
    );
    let hosts = WeightsHosts::single(Arc::clone(&share), KEY);
    let server = serve(listen, &ServeOptions::default(), move |app| {
        configure_weights_routes(app, hosts.clone());
    })
    .expect("the address is free");
    let member = member(name, server.address());
    Host {
        share,
        server,
        member,
    }
}

pub fn hosts(count: usize) -> Vec<Host> {
    (0..count)
        .map(|index| host(&format!("host-{index}"), SIZE_BYTES))
        .collect()
}

pub fn members(hosts: &[Host]) -> Vec<SwarmMember> {
    hosts.iter().map(|host| host.member.clone()).collect()
}

impl Host {
    /// Starts the transfer of a version; None when the version is held.
    pub fn start_transfer(
        &self,
        origin: &HttpServerHandle,
        manifest: &Manifest,
        members: &[SwarmMember],
    ) -> Option<Addr<WeightsTransfer>> {
        let options = TransferOptions {
            origin: OriginClient::new(origin.url()),
            origin_region: "region".to_owned(),
            http: HttpClient::to_processes(KEY),
            swarm: SwarmSettings {
                plan: PlanSettings::default(),
                max_probed_peers: 8,
            },
            peer_timeout_ms: 500,
            origin_timeout_ms: 5000,
        };
        let share = Arc::clone(&self.share);
        WeightsTransfer::new(share, manifest.clone(), members, options).map(Actor::start)
    }

    pub fn version(&self, manifest: &Manifest) -> Arc<WeightsVersion> {
        self.share
            .version(manifest.digest())
            .expect("the version was announced")
    }

    /// Waits until the host has verified the complete version.
    pub async fn wait_verified(&self, manifest: &Manifest) {
        let version = self.version(manifest);
        let stage = timeout(TRANSFER_TIMEOUT, version.wait_until_fetched()).await;
        assert_eq!(
            stage.ok(),
            Some(VersionStageKind::Verified),
            "{}",
            self.share.host
        );
    }

    /// Whether the counter `name` with the label value `label` is above 0.
    pub fn has_counted(&self, name: &str, label: &str) -> bool {
        let text = self.share.metrics.render();
        let label = format!("\"{label}\"");
        text.lines()
            .any(|line| line.starts_with(name) && line.contains(&label) && !line.ends_with(" 0"))
    }
}
