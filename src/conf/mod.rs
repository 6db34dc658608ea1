//! Settings of each role, read from INI files and validated.
//!
//! [`SettingsReader`] collects all faults of a file instead of stopping at the first:
//! unknown, missing and repeated sections and keys, malformed values, values out of
//! range and combinations that can't work. Code may also build the structs itself;
//! optional keys then get the same defaults as in a file.

mod backend_settings;
mod check;
mod cluster_settings;
mod declared_key;
mod endpoint_settings;
mod entry_settings;
mod log_format;
mod number_key;
mod partition_policy;
mod platform_settings;
mod process_settings;
mod settings_fault;
mod settings_faults;
mod settings_reader;
mod team_settings;
mod weights_settings;

pub use backend_settings::BackendSettings;
pub use check::check_file;
pub use check::declared_keys;
pub use cluster_settings::ClusterSettings;
pub use declared_key::DeclaredKey;
pub use endpoint_settings::EndpointSettings;
pub use entry_settings::EntrySettings;
pub use log_format::LogFormat;
pub use number_key::NumberKey;
pub use number_key::Unit;
pub use partition_policy::PartitionPolicy;
pub use platform_settings::PlatformSettings;
pub use process_settings::ProcessSettings;
pub use process_settings::role_name;
pub use settings_fault::SettingsFault;
pub use settings_faults::SettingsFaults;
pub use settings_reader::SettingsReader;
pub use team_settings::TeamSettings;
pub use weights_settings::WeightsSettings;
