use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::hosts::HostRecord;
use crate::links::HttpClient;
use crate::links::LinkError;
use crate::links::SimulatedPartition;

/// Longest time a read of the list may take.
const READ_TIMEOUT_MS: u64 = 3000;

/// The platform's list of hosts at one version.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct HostList {
    /// Version of the list; grows with each change.
    pub version: u64,
    /// Every host the platform knows.
    pub hosts: Vec<HostRecord>,
}

/// Client of the platform's lagging list of hosts.
#[derive(Debug, Clone)]
pub struct HostsClient {
    url: String,
    http: HttpClient,
}

impl HostsClient {
    /// Client of the list at the given base URL.
    pub fn new(base_url: &str) -> Self {
        Self {
            url: format!("{base_url}/v1/hosts"),
            http: HttpClient::to_platform(),
        }
    }

    /// The same client, which does not reach the addresses in `partition`.
    pub fn with_simulated_partition(mut self, partition: Arc<SimulatedPartition>) -> Self {
        self.http = self.http.with_simulated_partition(partition);
        self
    }

    /// Reads the list, or `None` when it still is at version `since`.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the list does not answer.
    pub async fn fetch_list(&self, since: u64) -> Result<Option<HostList>, LinkError> {
        let url = format!("{}?since={since}", self.url);
        match self.http.get_json(&url, READ_TIMEOUT_MS).await {
            Ok(list) => Ok(Some(list)),
            Err(LinkError::Status { status: 304, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }
}
