use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::hosts::HostRecord;
use crate::links::HttpClient;
use crate::links::LinkError;
use crate::links::SimulatedPartition;
use crate::observe::Event;
use crate::observe::emit_event;

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

/// A list whose records are not decoded yet: one that another writer has left may hold
/// anything.
#[derive(Debug, Deserialize)]
struct UndecodedList {
    version: u64,
    hosts: Vec<Box<RawValue>>,
}

impl UndecodedList {
    /// Decodes the records; logs those that name no host, and leaves them out.
    fn decode(self) -> HostList {
        let decode = |(at, record): (usize, Box<RawValue>)| {
            serde_json::from_str(record.get())
                .inspect_err(|error| {
                    emit_event(
                        Event::RecordRejected,
                        &[("topic", &"hosts"), ("record", &at), ("error", error)],
                    );
                })
                .ok()
        };
        HostList {
            version: self.version,
            hosts: self
                .hosts
                .into_iter()
                .enumerate()
                .filter_map(decode)
                .collect(),
        }
    }
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

    /// Fetches the list; `None` if its version still is `since`. Records that can't be decoded
    /// are left out.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the platform does not respond.
    pub async fn fetch_list(&self, since: u64) -> Result<Option<HostList>, LinkError> {
        let url = format!("{}?since={since}", self.url);
        let read = self.http.get_json::<UndecodedList>(&url, READ_TIMEOUT_MS);
        match read.await {
            Ok(list) => Ok(Some(list.decode())),
            Err(LinkError::Status { status: 304, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }
}
