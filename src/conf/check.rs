use std::path::Path;

use super::DeclaredKey;
use super::EndpointSettings;
use super::EntrySettings;
use super::SettingsFaults;
use super::SettingsReader;
use super::TeamSettings;
use super::process_settings::read_role;
use crate::hosts::HostRole;

/// Validates a settings file and returns the role that it is for.
///
/// # Errors
///
/// Returns every fault of the file.
pub fn check_file(path: impl AsRef<Path>) -> Result<HostRole, SettingsFaults> {
    let mut reader = SettingsReader::open(&path)?;
    let Some(role) = read_role(&mut reader) else {
        return Err(reader.into_faults());
    };
    match role {
        HostRole::Entry => EntrySettings::load(path).map(|_| role),
        HostRole::Endpoint => EndpointSettings::load(path).map(|_| role),
    }
}

/// All keys that a settings file of `role` may contain.
pub fn declared_keys(role: HostRole) -> Vec<DeclaredKey> {
    let mut reader = SettingsReader::empty();
    match role {
        HostRole::Entry => {
            EntrySettings::read(&mut reader);
            TeamSettings::declare_keys(&mut reader);
        }
        HostRole::Endpoint => {
            EndpointSettings::read(&mut reader);
        }
    }
    reader.into_declared_keys()
}
