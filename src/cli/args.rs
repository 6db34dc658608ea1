use clap::Parser;

/// Distributes model weights in bursts and routes live requests.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Args {}
