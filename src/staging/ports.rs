use std::fmt;
use std::future::Future;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

/// What an engine says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineReport {
    /// Models with the version of their weights.
    pub weights: Vec<(String, u64)>,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Orders accepted since its start.
    pub orders: u64,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// Memory in use, as a share of the whole.
    pub memory_used: f64,
    /// Slowness; 1 is the usual speed.
    pub pace: f64,
    /// Start of its incarnation, in Unix ms.
    pub born_unix_ms: Option<u64>,
}

impl EngineReport {
    /// Version of the weights of `model`; 0 when none are held.
    pub fn version(&self, model: &str) -> u64 {
        self.weights
            .iter()
            .find(|weights| weights.0 == model)
            .map_or(0, |weights| weights.1)
    }
}

/// Why a call to an engine or an origin failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineFault {
    /// No answer, or none that can be read.
    Unreachable(String),
    /// It refused with that status.
    Refused(u16),
}

impl fmt::Display for EngineFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "no answer: {why}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
        }
    }
}

impl std::error::Error for EngineFault {}

/// Digests of the pieces of one version of weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsManifest {
    /// Version.
    pub version: u64,
    /// SHA-256 of each piece.
    pub digests: Vec<[u8; 32]>,
}

impl WeightsManifest {
    /// Whether `bytes` are the piece `index`.
    pub fn matches(&self, index: u32, bytes: &[u8]) -> bool {
        self.digests
            .get(index as usize)
            .is_some_and(|digest| Sha256::digest(bytes).as_slice() == digest)
    }

    /// Number of pieces.
    pub fn chunks(&self) -> u32 {
        u32::try_from(self.digests.len()).unwrap_or(u32::MAX)
    }
}

/// The engine on the own host, with its staging area.
pub trait EnginePort: Clone + 'static {
    /// Reads its state.
    fn report(&mut self) -> impl Future<Output = Result<EngineReport, EngineFault>>;
    /// Reads one staged piece; None when there is none.
    fn read_piece(
        &mut self,
        model: &str,
        index: u32,
    ) -> impl Future<Output = Result<Option<Vec<u8>>, EngineFault>>;
    /// Stages one piece.
    fn write_piece(
        &mut self,
        model: &str,
        index: u32,
        bytes: &[u8],
    ) -> impl Future<Output = Result<(), EngineFault>>;
    /// Orders the staged version to be loaded once what runs has ended.
    fn load(
        &mut self,
        model: &str,
        version: u64,
    ) -> impl Future<Output = Result<(), EngineFault>>;
}

/// The origin of weights.
pub trait OriginPort: Clone + 'static {
    /// Reads the digests of a version.
    fn manifest(
        &self,
        origin: SocketAddr,
        model: &str,
        version: u64,
    ) -> impl Future<Output = Result<WeightsManifest, EngineFault>>;
    /// Reads one piece.
    fn piece(
        &self,
        origin: SocketAddr,
        model: &str,
        version: u64,
        index: u32,
    ) -> impl Future<Output = Result<Vec<u8>, EngineFault>>;
}
