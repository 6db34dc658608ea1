/// Load of an engine, from the last report of the endpoint process on its host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineLoad {
    /// Monotonic time of this process at which it received the report.
    pub received_ms: u64,
    /// Whether the engine answered the endpoint process.
    pub is_up: bool,
    /// Whether the engine is loading weights or is about to be ordered to.
    pub is_loading: bool,
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Part of the engine's memory that is in use, from 0 to 1.
    pub memory_used: f64,
    /// Version of the loaded weights; 0 when none are loaded.
    pub version: u64,
    /// Slowdown factor: 1 at the speed of the [`EngineProfile`](super::EngineProfile),
    /// above 1 when slower.
    pub pace: f64,
}
