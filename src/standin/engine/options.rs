use std::net::SocketAddr;

use clap::Args;

/// Settings of the engine stand-in.
#[derive(Debug, Clone, Args)]
pub struct EngineOptions {
    /// Address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Streams decoded at a time.
    #[arg(long, default_value_t = 16)]
    pub slots: u32,
    /// Time to the first token of an uncached prompt.
    #[arg(long, default_value_t = 40)]
    pub first_token_ms: u64,
    /// Time between tokens of a lone stream.
    #[arg(long, default_value_t = 10)]
    pub token_ms: u64,
    /// How much slower a full batch decodes than a lone stream.
    #[arg(long, default_value_t = 50)]
    pub batch_slowdown_percent: u64,
    /// Prompt blocks that fit into the prefix cache.
    #[arg(long, default_value_t = 512)]
    pub cache_blocks: usize,
    /// Refuse orders with an old number.
    #[arg(long)]
    pub checks_orders: bool,
    /// Abort the process on a prompt that holds `[[crash]]`.
    #[arg(long)]
    pub may_crash: bool,
}

impl EngineOptions {
    /// Default settings at `listen`.
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
