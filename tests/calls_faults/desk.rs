//! A small system with one service on several endpoints behind several entries.

use actix_web::http::Method;

use crate::caller;
use crate::support::Cluster;
use crate::support::TOKEN;
use crate::support::until;
use bergamotfork::links::HttpClient;
use bergamotfork::standin::service::Execution;
use bergamotfork::weights::Digest;

/// The system under test.
pub struct Desk {
    pub cluster: Cluster,
    /// Base URLs of the entries.
    pub entries: Vec<String>,
    /// Addresses of the endpoints.
    pub endpoints: Vec<String>,
}

impl Desk {
    /// Starts `entries` entries and `endpoints` endpoints of the service.
    pub async fn start(entries: usize, endpoints: usize, service_args: &[&str]) -> Self {
        let mut cluster = Cluster::new().await;
        let mut desk_entries = Vec::new();
        for number in 0..entries {
            let name = format!("entry-{number}");
            desk_entries.push(cluster.start_entry(&name, "or-north", "").await);
        }
        let mut desk_endpoints = Vec::new();
        for number in 0..endpoints {
            let name = format!("desk-{number}");
            let address = cluster
                .start_service(&name, "or-north", "bookdesk", service_args)
                .await;
            desk_endpoints.push(address);
        }
        let digest = Digest::of_bytes(TOKEN.as_bytes());
        let branch = format!(
            "token_digest = {digest}\nweight = 1\nshare_percent = 50\nburst_percent = 100\n\
             models =\nservices = bookdesk\n"
        );
        cluster.append_edit("branch seaside", 0, &branch).await;
        let service = "idempotent = lookup\ntimeout_ms = 5000\n";
        cluster.append_edit("service bookdesk", 0, service).await;
        let desk = Self {
            cluster,
            entries: desk_entries,
            endpoints: desk_endpoints,
        };
        desk.wait_ready().await;
        desk
    }

    /// Waits until every entry issues permits of every endpoint.
    pub async fn wait_ready(&self) {
        for entry in &self.entries {
            for endpoint in &self.endpoints {
                until("permits of each endpoint", 30, async || {
                    let permit = caller::permit(entry).await?;
                    (permit.address.to_string() == *endpoint).then_some(())
                })
                .await;
            }
        }
    }

    /// Base URL of the service beside an endpoint.
    pub fn service_url(&self, endpoint: usize) -> String {
        let backend = self.cluster.backend_of(&self.endpoints[endpoint]);
        format!("http://{backend}")
    }

    /// What the services ran.
    pub async fn ledger(&self) -> Vec<Execution> {
        let mut all = Vec::new();
        for endpoint in 0..self.endpoints.len() {
            let url = format!("{}/ledger", self.service_url(endpoint));
            let request = HttpClient::to_platform().request_on_new_connection(Method::GET, &url);
            let body = HttpClient::send_and_read(request, "", 5000).await;
            let body = body.expect("the service shows its ledger");
            let part: Vec<Execution> = serde_json::from_slice(&body).expect("a ledger");
            all.extend(part);
        }
        all
    }
}
