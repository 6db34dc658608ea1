use std::future::Future;

use crate::staging::LoadOrder;
use crate::staging::OrderOutcome;
use crate::weights::ExternalCallError;

/// State of an engine as the engine itself reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineReport {
    /// Loaded models, each with the version of its weights.
    pub weights: Vec<(String, u64)>,
    /// Whether the engine is carrying out a load order.
    pub is_busy: bool,
    /// Load orders accepted since the engine started.
    pub orders: u64,
    /// Requests waiting for a slot.
    pub queued: u32,
    /// Requests being executed.
    pub running: u32,
    /// Share of the memory in use, from 0 to 1.
    pub memory_used: f64,
    /// Slowdown factor of the engine; 1 is normal speed, 2 half of it.
    pub pace: f64,
    /// Start time of the current incarnation, in Unix ms.
    pub born_unix_ms: Option<u64>,
}

impl EngineReport {
    /// Returns the loaded version of `model`, or 0 when none is loaded.
    pub fn version(&self, model: &str) -> u64 {
        self.weights
            .iter()
            .find(|weights| weights.0 == model)
            .map_or(0, |weights| weights.1)
    }

    /// Returns the loaded version of `model` if the engine holds that model alone.
    pub fn only_version(&self, model: &str) -> Option<u64> {
        match &self.weights[..] {
            [(loaded, version)] if loaded == model && *version != 0 => Some(*version),
            _ => None,
        }
    }
}

/// Connection to the engine on this host and to its staging area.
///
/// The staging area holds one piece for each index of a model, of any version.
pub trait EnginePort: Clone + 'static {
    /// Reads the state of the engine.
    fn report(&mut self) -> impl Future<Output = Result<EngineReport, ExternalCallError>>;
    /// Reads one piece from the staging area; `None` when there is none.
    fn read_piece(
        &mut self,
        model: &str,
        index: u32,
    ) -> impl Future<Output = Result<Option<Vec<u8>>, ExternalCallError>>;
    /// Writes one piece into the staging area.
    fn write_piece(
        &mut self,
        model: &str,
        index: u32,
        bytes: &[u8],
    ) -> impl Future<Output = Result<(), ExternalCallError>>;
    /// Orders the engine to load the pieces that are staged when it accepts the order, once
    /// its running requests have ended.
    fn order_load(&mut self, order: &LoadOrder) -> impl Future<Output = OrderOutcome>;
}
