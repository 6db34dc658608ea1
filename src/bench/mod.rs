//! Measurements behind `bergamotfork bench`: configuration propagation, weight
//! distribution and request routing. All processes of a measurement run on
//! threads of the bench process and use loopback addresses.

mod control;
mod control_fleet;
mod control_monitor;
mod control_options;
mod control_result;
mod requests;
mod requests_baseline;
mod requests_document;
mod requests_driver;
mod requests_fleet;
mod requests_model;
mod requests_overhead;
mod requests_policy;
mod requests_result;
mod requests_scenario;
mod requests_tally;
mod requests_threads;
mod weights;
mod weights_bound;
mod weights_fleet;
mod weights_member_lists;
mod weights_options;
mod weights_plot;
mod weights_result;
mod weights_trace;

pub use control_options::ControlBench;
pub use control_options::ControlFault;
pub use control_result::ControlResult;
pub use requests::RequestsBench;
pub use requests::RequestsResult;
pub use requests_overhead::OverheadResult;
pub use requests_policy::RequestsPolicy;
pub use requests_result::PolicyResult;
pub use requests_scenario::RequestsScenario;
pub use requests_tally::TallyResult;
pub use weights_bound::BoundInput;
pub use weights_bound::lower_bound_ms;
pub use weights_options::Baseline;
pub use weights_options::WeightsBench;
pub use weights_plot::plot_weights;
pub use weights_result::WeightsResult;
