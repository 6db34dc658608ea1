use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::hosts::HostRecord;
use crate::links::HttpClient;
use crate::links::LinkError;
use crate::links::SimulatedPartition;

/// Timeout of a fetch of the list.
const READ_TIMEOUT_MS: u64 = 3000;

/// One version of the platform's list of hosts.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct HostList {
    /// Version of the list, which increases with each change.
    pub version: u64,
    /// All hosts that the platform has registered.
    pub hosts: Vec<HostRecord>,
}

/// Client of the platform's list of hosts, which may lag behind the hosts' real state.
#[derive(Debug, Clone)]
pub struct HostsClient {
    url: String,
    http: HttpClient,
}

impl HostsClient {
    /// Creates a client of the list at `base_url`.
    pub fn new(base_url: &str) -> Self {
        Self {
            url: format!("{base_url}/v1/hosts"),
            http: HttpClient::to_platform(),
        }
    }

    /// The same client, whose requests time out while `partition` blocks the list.
    pub fn with_simulated_partition(mut self, partition: Arc<SimulatedPartition>) -> Self {
        self.http = self.http.with_simulated_partition(partition);
        self
    }

    /// Fetches the list; `None` if its version still is `since`.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the platform does not respond.
    pub async fn fetch_list(&self, since: u64) -> Result<Option<HostList>, LinkError> {
        let url = format!("{}?since={since}", self.url);
        match self.http.get_json(&url, READ_TIMEOUT_MS).await {
            Ok(list) => Ok(Some(list)),
            Err(LinkError::Status { status: 304, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }
}
