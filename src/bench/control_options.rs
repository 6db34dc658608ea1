use clap::Args;
use clap::ValueEnum;

/// Fault injected during the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum ControlFault {
    /// No fault.
    None,
    /// Every log call takes 2 s.
    LogSlow,
    /// The log is unavailable for 6 s.
    LogDown,
    /// The reply of every second append is lost.
    LostReply,
    /// A third of the processes stops following the log for 6 s.
    PauseThird,
    /// For 6 s the two regions cannot reach each other, and the second cannot reach the platform.
    RegionCut,
}

impl ControlFault {
    /// Name of the fault on the command line and in the result.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::LogSlow => "log-slow",
            Self::LogDown => "log-down",
            Self::LostReply => "lost-reply",
            Self::PauseThird => "pause-third",
            Self::RegionCut => "region-cut",
        }
    }
}

/// Measurement of how fast configuration changes are in force on every process.
#[derive(Debug, Clone, Args)]
pub struct ControlBench {
    /// Number of entry processes.
    #[arg(long, default_value_t = 9)]
    pub entries: usize,
    /// Number of endpoint processes.
    #[arg(long, default_value_t = 60)]
    pub endpoints: usize,
    /// Fault to inject during the run.
    #[arg(long, value_enum, default_value = "none")]
    pub fault: ControlFault,
    /// Number of configuration changes.
    #[arg(long, default_value_t = 20)]
    pub changes: u64,
    /// Time between two changes in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 500)]
    pub interval_ms: u64,
    /// Print one JSON object.
    #[arg(long)]
    pub json: bool,
}
