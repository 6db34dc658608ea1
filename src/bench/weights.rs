use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use actix_web::http::Method;
use serde::Deserialize;

use super::WeightsBench;
use super::WeightsResult;
use super::weights_fleet::FleetHost;
use super::weights_fleet::WeightsFleet;
use super::weights_trace::WeightsTrace;
use crate::clients::OriginClient;
use crate::links::HttpClient;
use crate::links::LinkError;
use crate::standin::HttpServerHandle;
use crate::standin::origin;
use crate::standin::origin::OriginOptions;
use crate::standin::origin::OriginStats;
use crate::standin::origin::PublishRequest;
use crate::weights::Digest;
use crate::weights::Manifest;

/// Time at which hosts are killed, in percent of the lower bound.
const KILL_AT_PERCENT: u64 = 40;

/// Interval of the checks whether all hosts serve.
const POLL_INTERVAL_MS: u64 = 20;

/// Timeout of the bench's own calls to the origin.
const CALL_TIMEOUT_MS: u64 = 10_000;

/// Reply of the origin stand-in to a publication.
#[derive(Debug, Deserialize)]
struct Published {
    manifest: Digest,
}

impl WeightsBench {
    /// Distributes the version until every surviving host serves it or the run times
    /// out.
    ///
    /// # Errors
    ///
    /// The I/O error when the hosts or the origin can't start or the origin does not answer.
    pub async fn run(&self) -> io::Result<WeightsResult> {
        let fleet = WeightsFleet::start(self)?;
        let origin = origin::start(OriginOptions {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            rate_bytes_per_s: self.origin_bytes_per_s(),
            burst_bytes: u64::from(self.chunk_bytes),
        })
        .await?;
        let manifest = self
            .publish_version(&origin)
            .await
            .map_err(io::Error::other)?;
        let started = Instant::now();
        fleet.start_transfers(self, &manifest, &origin.url(), started);
        self.wait_until_served(&fleet, started).await;
        let elapsed_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let url = format!("{}/stats", origin.url());
        let stats: OriginStats = HttpClient::to_platform()
            .get_json(&url, CALL_TIMEOUT_MS)
            .await
            .map_err(io::Error::other)?;
        let result = WeightsResult::collect(self, &fleet, &stats, elapsed_ms);
        fleet.stop().await;
        origin.kill().await;
        Ok(result)
    }

    /// Publishes the version at the origin and returns its verified manifest.
    async fn publish_version(&self, origin: &HttpServerHandle) -> Result<Manifest, LinkError> {
        let publication = PublishRequest {
            model: "bench".to_owned(),
            version: "v1".to_owned(),
            size_bytes: self.bytes,
            chunk_bytes: self.chunk_bytes,
            seed: self.seed,
            base: None,
        };
        let url = format!("{}/v1/publish", origin.url());
        let http = HttpClient::to_platform();
        let published: Published = http
            .send_json(Method::POST, &url, &publication, CALL_TIMEOUT_MS)
            .await?;
        let manifest = OriginClient::new(origin.url())
            .fetch_manifest("bench", "v1")
            .await
            .map_err(|error| LinkError::Malformed(error.to_string()))?;
        match manifest.validate_with_digest(published.manifest) {
            Ok(()) => Ok(manifest),
            Err(error) => Err(LinkError::Malformed(error.to_string())),
        }
    }

    /// Waits until every surviving host serves or the run times out; kills the
    /// selected hosts when their time has come.
    async fn wait_until_served(&self, fleet: &WeightsFleet, started: Instant) {
        let timeout = Duration::from_millis(self.timeout_ms());
        let kill_at = Duration::from_millis(self.lower_bound_ms() * KILL_AT_PERCENT / 100);
        let mut killed = false;
        let mut trace = WeightsTrace::new(self);
        while started.elapsed() < timeout {
            if !killed && started.elapsed() >= kill_at {
                killed = true;
                fleet.kill_selected().await;
            }
            if self.trace {
                trace.sample(fleet, started);
            }
            let is_done = |host: &FleetHost| host.will_be_killed || host.served_ms().is_some();
            if fleet.hosts.iter().all(is_done) {
                return;
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }
}
