use std::fmt;

use actix_web::http::Method;
use bytes::Bytes;

use crate::links::HttpClient;
use crate::links::LinkError;
use crate::weights::Digest;
use crate::weights::Manifest;

/// Timeout of a fetch of a manifest.
const MANIFEST_TIMEOUT_MS: u64 = 10_000;

/// Wait after a refusal of the origin that suggests none.
const DEFAULT_RETRY_MS: u64 = 1000;

/// Why a fetch from the origin failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OriginError {
    /// The origin is over its limit or unavailable and asks to retry later.
    RateLimited {
        /// Wait before the retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The origin has no such manifest or chunk.
    Missing,
    /// The origin gave no usable response.
    Link(LinkError),
}

impl OriginError {
    /// Name of the error in metrics; part of the interface.
    pub fn label(&self) -> &'static str {
        match self {
            Self::RateLimited { .. } => "origin_limited",
            Self::Missing => "origin_missing",
            Self::Link(_) => "origin_unavailable",
        }
    }
}

impl fmt::Display for OriginError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RateLimited { retry_after_ms } => {
                write!(f, "the origin asks to retry in {retry_after_ms} ms")
            }
            Self::Missing => f.write_str("the origin has no such manifest or chunk"),
            Self::Link(error) => write!(f, "the origin gave no usable response: {error}"),
        }
    }
}

impl std::error::Error for OriginError {}

impl From<LinkError> for OriginError {
    fn from(error: LinkError) -> Self {
        match error {
            LinkError::Status {
                status: 429 | 503,
                retry_after_ms,
                ..
            } => Self::RateLimited {
                retry_after_ms: retry_after_ms.unwrap_or(DEFAULT_RETRY_MS),
            },
            LinkError::Status { status: 404, .. } => Self::Missing,
            other => Self::Link(other),
        }
    }
}

/// Client of the origin, which stores the weights of all versions.
#[derive(Debug, Clone)]
pub struct OriginClient {
    base_url: String,
    http: HttpClient,
}

impl OriginClient {
    /// Creates a client of the origin at `base_url`.
    pub fn new(base_url: impl Into<String>) -> Self {
        Self {
            base_url: base_url.into(),
            http: HttpClient::to_platform(),
        }
    }

    /// Fetches the manifest of a version; the caller has to check its digest.
    ///
    /// # Errors
    ///
    /// [`OriginError`] when the origin does not send the manifest.
    pub async fn fetch_manifest(
        &self,
        model: &str,
        version: &str,
    ) -> Result<Manifest, OriginError> {
        let url = format!(
            "{}/v1/models/{model}/versions/{version}/manifest",
            self.base_url
        );
        Ok(self.http.get_json(&url, MANIFEST_TIMEOUT_MS).await?)
    }

    /// Fetches one chunk within `timeout_ms`; the caller has to check its digest.
    ///
    /// # Errors
    ///
    /// [`OriginError`] when the origin does not send the chunk.
    pub async fn fetch_chunk(
        &self,
        manifest: Digest,
        index: u32,
        timeout_ms: u64,
    ) -> Result<Bytes, OriginError> {
        let url = format!("{}/v1/chunks/{manifest}/{index}", self.base_url);
        let request = self.http.request(Method::GET, &url);
        Ok(HttpClient::send_and_read(request, Bytes::new(), timeout_ms).await?)
    }
}
