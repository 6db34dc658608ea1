//! The endpoint process on a platform with its own wire: brings weights to the
//! replica beside it, orders their loading, and reports the replica's load.
//!
//! Pieces spread as a swarm by the plan of [`crate::weights`]: about one copy
//! leaves the origin, and each link between regions carries each piece once.
//! What the wire calls things is behind the traits in `ports`.

mod fetch_schedule;
mod manifest;
mod next_load;
mod piece_handler;
mod ports;
mod process;
mod relay_entry;
mod reporter;
mod settings;
mod staged_model;
mod state;
mod swarm_fetches;
mod weights_download;
mod weights_manager;

pub use fetch_schedule::FetchSchedule;
pub use next_load::DownloadProgress;
pub use next_load::NextLoad;
pub use next_load::NextLoadInput;
pub use next_load::next_load;
pub use ports::EnginePort;
pub use ports::EngineReport;
pub use process::run_endpoint_process;
pub use relay_entry::RelayEntry;
pub use relay_entry::assign_pieces;
pub use settings::StagingSettings;
pub use staged_model::StagedModel;
pub use staged_model::VersionDownload;
pub use state::StagingState;
