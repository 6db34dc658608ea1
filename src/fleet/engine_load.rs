/// Load of an engine, as its host's endpoint process last measured it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineLoad {
    /// Steady time at which the report arrived here.
    pub received_ms: u64,
    /// Whether the engine answered its host at all.
    pub is_up: bool,
    /// Whether it is loading weights, or about to.
    pub is_loading: bool,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Memory in use, as a share of the whole.
    pub memory_used: f64,
    /// Version of the weights; 0 when none are held.
    pub version: u64,
    /// Slowness; 1 is the usual speed.
    pub pace: f64,
}
