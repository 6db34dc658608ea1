use std::fmt;
use std::future::Future;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

/// Why a call to an engine, an origin or another process failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExternalCallError {
    /// No answer, or none that can be read.
    Unreachable(String),
    /// It refused with that status.
    Refused(u16),
    /// The bytes are not those of the piece.
    Corrupt,
}

impl fmt::Display for ExternalCallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "no answer: {why}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Corrupt => f.write_str("the bytes do not match their digest"),
        }
    }
}

impl std::error::Error for ExternalCallError {}

/// Digests of the pieces of one version of weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceManifest {
    /// Version.
    pub version: u64,
    /// SHA-256 of each piece.
    pub digests: Vec<[u8; 32]>,
}

impl PieceManifest {
    /// Whether `bytes` are the piece `index`.
    pub fn matches(&self, index: u32, bytes: &[u8]) -> bool {
        self.digests
            .get(index as usize)
            .is_some_and(|digest| Sha256::digest(bytes).as_slice() == digest)
    }

    /// Number of pieces.
    pub fn piece_count(&self) -> u32 {
        u32::try_from(self.digests.len()).unwrap_or(u32::MAX)
    }
}

/// The origin of weights.
pub trait OriginPort: Clone + 'static {
    /// Reads the digests of a version.
    fn manifest(
        &self,
        origin: SocketAddr,
        model: &str,
        version: u64,
    ) -> impl Future<Output = Result<PieceManifest, ExternalCallError>>;
    /// Reads one piece.
    fn piece(
        &self,
        origin: SocketAddr,
        model: &str,
        version: u64,
        index: u32,
    ) -> impl Future<Output = Result<Vec<u8>, ExternalCallError>>;
}

/// Reads of a manifest until two must have agreed.
const MAX_MANIFEST_READS: u32 = 4;

/// Reads a manifest until two answers agree: what an origin sends may be spoilt
/// on the way, and nothing else shows a wrong digest.
pub async fn fetch_confirmed_manifest(
    port: &impl OriginPort,
    origin: SocketAddr,
    model: &str,
    version: u64,
) -> Result<PieceManifest, ExternalCallError> {
    let mut last: Option<PieceManifest> = None;
    for _ in 0..MAX_MANIFEST_READS {
        let manifest = port.manifest(origin, model, version).await?;
        if last.as_ref() == Some(&manifest) {
            return Ok(manifest);
        }
        last = Some(manifest);
    }
    Err(ExternalCallError::Corrupt)
}
