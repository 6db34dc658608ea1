use std::future::Future;

use crate::weights::ExternalCallError;

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

/// The engine on the own host, with its staging area.
pub trait EnginePort: Clone + 'static {
    /// Reads its state.
    fn report(&mut self) -> impl Future<Output = Result<EngineReport, ExternalCallError>>;
    /// Reads one staged piece; None when there is none.
    fn read_piece(
        &mut self,
        model: &str,
        index: u32,
    ) -> impl Future<Output = Result<Option<Vec<u8>>, ExternalCallError>>;
    /// Stages one piece.
    fn write_piece(
        &mut self,
        model: &str,
        index: u32,
        bytes: &[u8],
    ) -> impl Future<Output = Result<(), ExternalCallError>>;
    /// Orders the staged version to be loaded once what runs has ended.
    fn load(
        &mut self,
        model: &str,
        version: u64,
    ) -> impl Future<Output = Result<(), ExternalCallError>>;
}
