use std::net::SocketAddr;

use clap::Args;

/// Command-line options of the engine stand-in.
#[derive(Debug, Clone, Args)]
pub struct EngineOptions {
    /// Address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Number of streams decoded concurrently.
    #[arg(long, default_value_t = 16)]
    pub slots: u32,
    /// Time to the first token of an uncached prompt, in milliseconds.
    #[arg(long, default_value_t = 40)]
    pub first_token_ms: u64,
    /// Time between tokens when a single stream runs, in milliseconds.
    #[arg(long, default_value_t = 10)]
    pub token_ms: u64,
    /// Added time per token in a full batch, in percent of the time of a single stream.
    #[arg(long, default_value_t = 50)]
    pub batch_slowdown_percent: u64,
    /// Capacity of the prefix cache in prompt blocks of 64 bytes.
    #[arg(long, default_value_t = 512)]
    pub cache_blocks: usize,
    /// Refuse orders whose number is lower than the highest accepted number.
    #[arg(long)]
    pub checks_orders: bool,
    /// Abort the process on a prompt that contains `[[crash]]`.
    #[arg(long)]
    pub may_crash: bool,
}

impl EngineOptions {
    /// Default options at `listen`, with order numbers checked.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            slots: 16,
            first_token_ms: 40,
            token_ms: 10,
            batch_slowdown_percent: 50,
            cache_blocks: 512,
            checks_orders: true,
            may_crash: false,
        }
    }
}
