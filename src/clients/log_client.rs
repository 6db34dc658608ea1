use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::links::HttpClient;
use crate::links::LinkError;
use crate::links::SimulatedPartition;
use crate::links::decode_json;

/// Timeout of an append.
const APPEND_TIMEOUT_MS: u64 = 5000;

/// Time a read may take in addition to the wait that it requests.
const READ_MARGIN_MS: u64 = 5000;

/// Record in a stream of the platform's log, as its HTTP interface represents it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawLogRecord {
    /// Offset of the record in the stream.
    pub offset: u64,
    /// Bytes of the record, in hexadecimal.
    pub body_hex: String,
}

impl RawLogRecord {
    /// Decodes the bytes of the record; empty when `body_hex` is not valid.
    pub fn body(&self) -> Vec<u8> {
        let digits = self.body_hex.as_bytes();
        digits
            .chunks_exact(2)
            .map(|pair| {
                std::str::from_utf8(pair)
                    .ok()
                    .and_then(|pair| u8::from_str_radix(pair, 16).ok())
            })
            .collect::<Option<Vec<u8>>>()
            .unwrap_or_default()
    }

    /// Creates a record from its bytes.
    pub fn new(offset: u64, body: &[u8]) -> Self {
        let body_hex = body.iter().map(|byte| format!("{byte:02x}")).collect();
        Self { offset, body_hex }
    }
}

/// Response of the log to a read: consecutive records and the bounds of the stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogReadResponse {
    /// Lowest offset that is not trimmed.
    pub earliest: u64,
    /// Offset that the next appended record will get.
    pub next: u64,
    /// Records from the requested offset on, without gaps.
    pub records: Vec<RawLogRecord>,
}

/// Response of the log to an append.
#[derive(Debug, Deserialize)]
struct AppendResponse {
    offset: u64,
}

/// Client of one stream of the platform's append-only log.
#[derive(Debug, Clone)]
pub struct LogClient {
    url: String,
    http: HttpClient,
}

impl LogClient {
    /// Creates a client of `stream` in the log at `base_url`.
    pub fn new(base_url: &str, stream: &str) -> Self {
        Self {
            url: format!("{base_url}/v1/streams/{stream}/records"),
            http: HttpClient::to_platform(),
        }
    }

    /// The same client, whose requests time out while `partition` blocks the log.
    pub fn with_simulated_partition(mut self, partition: Arc<SimulatedPartition>) -> Self {
        self.http = self.http.with_simulated_partition(partition);
        self
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`LinkError`]; unless it is [`LinkError::NotSent`], the record may have been
    /// appended all the same.
    pub async fn append(&self, body: Vec<u8>) -> Result<u64, LinkError> {
        let answer = self
            .http
            .post_bytes(&self.url, body, APPEND_TIMEOUT_MS)
            .await?;
        decode_json::<AppendResponse>(&answer).map(|response| response.offset)
    }

    /// Reads up to `max` records from offset `from` on; the log waits up to `wait_ms` for
    /// the first one.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the log does not respond.
    pub async fn read(
        &self,
        from: u64,
        max: usize,
        wait_ms: u64,
    ) -> Result<LogReadResponse, LinkError> {
        let url = format!("{}?from={from}&max={max}&wait_ms={wait_ms}", self.url);
        self.http.get_json(&url, wait_ms + READ_MARGIN_MS).await
    }
}
