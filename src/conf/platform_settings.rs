use super::SettingsReader;

const SECTION: &str = "platform";
const DEFAULT_CONFIG_STREAM: &str = "config";

/// Region of the origin when none is set; stands for the first region of the hosts by name.
const UNNAMED_REGION: &str = "none";

/// Addresses of the platform's services.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Base URL of the log.
    pub log_url: String,
    /// Base URL of the list of live and leaving hosts.
    pub hosts_url: String,
    /// Base URL of the origin of weights.
    pub origin_url: String,
    /// Region of the origin; default `none`, which stands for the first region by name.
    pub origin_region: String,
    /// Stream of the log with the configuration; default `config`.
    pub config_stream: String,
}

impl PlatformSettings {
    /// Creates settings with the default stream and region.
    pub fn new(
        log_url: impl Into<String>,
        hosts_url: impl Into<String>,
        origin_url: impl Into<String>,
    ) -> Self {
        Self {
            log_url: log_url.into(),
            hosts_url: hosts_url.into(),
            origin_url: origin_url.into(),
            origin_region: UNNAMED_REGION.to_owned(),
            config_stream: DEFAULT_CONFIG_STREAM.to_owned(),
        }
    }

    /// Reads all keys.
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        Self {
            log_url: reader.url(SECTION, "log_url"),
            hosts_url: reader.url(SECTION, "hosts_url"),
            origin_url: reader.url(SECTION, "origin_url"),
            origin_region: reader.name_or(SECTION, "origin_region", UNNAMED_REGION),
            config_stream: reader.name_or(SECTION, "config_stream", DEFAULT_CONFIG_STREAM),
        }
    }
}
