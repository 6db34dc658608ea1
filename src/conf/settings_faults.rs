use std::fmt;

use super::SettingsFault;

/// All faults of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFaults(pub Vec<SettingsFault>);

impl fmt::Display for SettingsFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsFaults {}
