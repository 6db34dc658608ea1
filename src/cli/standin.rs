use std::net::SocketAddr;

use clap::Args;
use clap::Subcommand;

/// Arguments of `standin`.
#[derive(Debug, Args)]
pub struct StandinArgs {
    /// Which service of the platform to stand in for.
    #[command(subcommand)]
    pub kind: StandinKind,
}

/// A service of the platform, and its options.
#[derive(Debug, Subcommand)]
pub enum StandinKind {
    /// The append-only log service.
    Log {
        /// Address to listen on.
        #[arg(long, value_name = "IP:PORT")]
        listen: SocketAddr,
        /// How long a record is kept.
        #[arg(long, value_name = "MS", default_value_t = 86_400_000)]
        retention_ms: u64,
        /// Delay before each answer.
        #[arg(long, value_name = "MS", default_value_t = 0)]
        delay_ms: u64,
    },
    /// The list of live and leaving hosts.
    Hosts {
        /// Address to listen on.
        #[arg(long, value_name = "IP:PORT")]
        listen: SocketAddr,
        /// How far the list lags behind its changes.
        #[arg(long, value_name = "MS", default_value_t = 0)]
        lag_ms: u64,
    },
    /// The rate-limited origin of weights.
    Origin {
        /// Address to listen on.
        #[arg(long, value_name = "IP:PORT")]
        listen: SocketAddr,
        /// Rate of the origin's link; 0 means no limit.
        #[arg(long, value_name = "BYTES", default_value_t = 0)]
        rate_bytes_per_s: u64,
    },
    /// A model engine.
    Engine {
        /// Address to listen on.
        #[arg(long, value_name = "IP:PORT")]
        listen: SocketAddr,
        /// Time between two tokens.
        #[arg(long, value_name = "MS", default_value_t = 5)]
        token_ms: u64,
        /// Take orders with an old number too.
        #[arg(long)]
        ignores_orders: bool,
        /// Let a prompt that holds "[[crash]]" end the process.
        #[arg(long)]
        may_crash: bool,
    },
    /// A plain service beside the engines.
    Service {
        /// Address to listen on.
        #[arg(long, value_name = "IP:PORT")]
        listen: SocketAddr,
        /// Remember idempotency keys and answer a repetition from memory.
        #[arg(long)]
        keeps_keys: bool,
        /// Delay before each answer.
        #[arg(long, value_name = "MS", default_value_t = 0)]
        delay_ms: u64,
    },
}
