//! A cluster with one service, `bookdesk`, on several endpoints behind several entries.

use actix_web::http::Method;

use crate::caller;
use crate::support::Cluster;
use crate::support::TOKEN;
use crate::support::until;
use bergamotfork::links::HttpClient;
use bergamotfork::standin::service::Execution;
use bergamotfork::weights::Digest;

/// The cluster under test and the addresses that callers use.
pub struct ServiceFixture {
    pub cluster: Cluster,
    /// Base URLs of the entries.
    pub entries: Vec<String>,
    /// Addresses of the endpoints, as `IP:PORT`.
    pub endpoints: Vec<String>,
}

impl ServiceFixture {
    /// Starts the cluster with a service stand-in for each endpoint and waits until it is ready.
    pub async fn start(entries: usize, endpoints: usize, service_args: &[&str]) -> Self {
        let mut cluster = Cluster::new().await;
        let mut entry_urls = Vec::new();
        for number in 0..entries {
            let name = format!("entry-{number}");
            entry_urls.push(cluster.start_entry(&name, "or-north", "").await);
        }
        let mut endpoint_addresses = Vec::new();
        for number in 0..endpoints {
            let name = format!("desk-{number}");
            let address = cluster
                .start_service(&name, "or-north", "bookdesk", service_args)
                .await;
            endpoint_addresses.push(address);
        }
        let digest = Digest::of_bytes(TOKEN.as_bytes());
        let branch = format!(
            "token_digest = {digest}\nweight = 1\nshare_percent = 50\nburst_percent = 100\n\
             models =\nservices = bookdesk\n"
        );
        cluster.append_edit("branch seaside", 0, &branch).await;
        let service = "idempotent = lookup\ntimeout_ms = 5000\n";
        cluster.append_edit("service bookdesk", 0, service).await;
        let fixture = Self {
            cluster,
            entries: entry_urls,
            endpoints: endpoint_addresses,
        };
        fixture.wait_ready().await;
        fixture
    }

    /// Waits until every entry issues permits for every endpoint.
    pub async fn wait_ready(&self) {
        for entry in &self.entries {
            for endpoint in &self.endpoints {
                until("permits for each endpoint", 30, async || {
                    let permit = caller::request_permit(entry).await?;
                    (permit.address.to_string() == *endpoint).then_some(())
                })
                .await;
            }
        }
    }

    /// Base URL of the service stand-in that `endpoint` serves.
    pub fn service_url(&self, endpoint: usize) -> String {
        let backend = self.cluster.backend_of(&self.endpoints[endpoint]);
        format!("http://{backend}")
    }

    /// All executions that the service stand-ins recorded.
    pub async fn ledger(&self) -> Vec<Execution> {
        let mut all = Vec::new();
        for endpoint in 0..self.endpoints.len() {
            let url = format!("{}/ledger", self.service_url(endpoint));
            let request = HttpClient::to_platform().request_on_new_connection(Method::GET, &url);
            let body = HttpClient::send_and_read(request, "", 5000).await;
            let body = body.expect("the service returns its ledger");
            let executions: Vec<Execution> = serde_json::from_slice(&body).expect("a ledger");
            all.extend(executions);
        }
        all
    }
}
