use std::fmt;
use std::future::Future;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

/// Failure of a call to an engine, an origin or another process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExternalCallError {
    /// No response arrived, or it could not be parsed; holds the cause.
    Unreachable(String),
    /// The response had this unexpected HTTP status.
    Refused(u16),
    /// The received bytes do not match their digest.
    Corrupt,
    /// No two reads of a manifest gave the same one that fits its version and the
    /// configuration.
    UnconfirmedManifest,
}

impl ExternalCallError {
    /// Returns whether the callee answered. Without an answer, it may still carry out the
    /// call.
    pub fn is_answer(&self) -> bool {
        !matches!(self, Self::Unreachable(_))
    }
}

impl fmt::Display for ExternalCallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => write!(f, "no answer: {cause}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Corrupt => f.write_str("the bytes do not match their digest"),
            Self::UnconfirmedManifest => {
                f.write_str("no two reads gave the same manifest that fits the configuration")
            }
        }
    }
}

impl std::error::Error for ExternalCallError {}

/// Digests of the pieces of one weights version on the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceManifest {
    /// Version number, as assigned by the platform.
    pub version: u64,
    /// SHA-256 digest of each piece, in order.
    pub digests: Vec<[u8; 32]>,
}

impl PieceManifest {
    /// Whether `bytes` have the digest of piece `index`.
    pub fn matches(&self, index: u32, bytes: &[u8]) -> bool {
        self.digests
            .get(index as usize)
            .is_some_and(|digest| Sha256::digest(bytes).as_slice() == digest)
    }

    /// Whether this is a manifest of `version` that lists `piece_count` pieces.
    ///
    /// A version without pieces has no manifest; a `piece_count` of 0 is not known.
    pub fn describes(&self, version: u64, piece_count: u32) -> bool {
        let found = self.piece_count();
        self.version == version && found > 0 && (piece_count == 0 || found == piece_count)
    }

    /// Number of pieces in the version.
    pub fn piece_count(&self) -> u32 {
        u32::try_from(self.digests.len()).unwrap_or(u32::MAX)
    }
}

/// Client interface to the origin that publishes weights.
pub trait OriginPort: Clone + 'static {
    /// Fetches the piece digests of `version`.
    fn manifest(
        &self,
        origin: SocketAddr,
        model: &str,
        version: u64,
    ) -> impl Future<Output = Result<PieceManifest, ExternalCallError>>;
    /// Fetches the bytes of piece `index`, without verifying them.
    fn piece(
        &self,
        origin: SocketAddr,
        model: &str,
        version: u64,
        index: u32,
    ) -> impl Future<Output = Result<Vec<u8>, ExternalCallError>>;
}

/// Largest number of reads of a manifest, of which two have to give the same one.
const MAX_MANIFEST_READS: u32 = 4;

/// Fetches a manifest of `piece_count` pieces repeatedly until two consecutive responses
/// that fit are equal.
///
/// A response may be corrupted in transit, and no other check would reveal a
/// wrong digest in it before the pieces are read.
///
/// # Errors
///
/// Returns the error of a failed read, and [`ExternalCallError::UnconfirmedManifest`] when
/// no two consecutive responses were equal and of this version and number of pieces.
pub async fn fetch_confirmed_manifest(
    port: &impl OriginPort,
    origin: SocketAddr,
    model: &str,
    version: u64,
    piece_count: u32,
) -> Result<PieceManifest, ExternalCallError> {
    if piece_count == 0 {
        return Err(ExternalCallError::UnconfirmedManifest);
    }
    let mut last: Option<PieceManifest> = None;
    for _ in 0..MAX_MANIFEST_READS {
        let manifest = port.manifest(origin, model, version).await?;
        if !manifest.describes(version, piece_count) {
            continue;
        }
        if last.as_ref() == Some(&manifest) {
            return Ok(manifest);
        }
        last = Some(manifest);
    }
    Err(ExternalCallError::UnconfirmedManifest)
}
