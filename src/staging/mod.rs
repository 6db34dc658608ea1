//! The endpoint process on a platform with its own protocol. It downloads weights
//! for the replica on its host, orders the replica to load them, and reports the
//! replica's load to the entries.
//!
//! Pieces of weights are distributed as a swarm, planned by [`crate::weights`]:
//! about one copy leaves the origin, and each link between regions carries each
//! piece once. The traits in `ports` hide the protocol of the platform.

mod checked_pieces;
mod earlier_orders;
mod fetch_schedule;
mod follow_records;
mod load_order;
mod manifest;
mod next_load;
mod order_ledger;
mod piece_handler;
mod ports;
mod process;
mod reporter;
mod settings;
mod staged_content;
mod staged_model;
mod staged_pieces;
mod state;
mod swarm_fetches;
mod weights_download;
mod weights_manager;

pub use checked_pieces::CheckedPieces;
pub use fetch_schedule::FetchSchedule;
pub use load_order::LoadOrder;
pub use load_order::OrderOutcome;
pub use next_load::DownloadProgress;
pub use next_load::NextLoad;
pub use next_load::NextLoadInput;
pub use next_load::next_load;
pub use next_load::version_to_finish;
pub use order_ledger::OpenOrder;
pub use order_ledger::OrderEnd;
pub use order_ledger::OrderLedger;
pub use ports::EnginePort;
pub use ports::EngineReport;
pub use process::run_endpoint_process;
pub use settings::StagingSettings;
pub use staged_content::StagedContent;
pub use staged_model::StagedModel;
pub use staged_model::VersionDownload;
pub use staged_pieces::StagedPieces;
pub use state::StagingState;
