use super::SettingsReader;

const SECTION: &str = "platform";
const DEFAULT_CONFIG_STREAM: &str = "config";

/// Names no region: the first region of the hosts takes the origin's place.
const UNNAMED_REGION: &str = "none";

/// Where the platform's services are.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// The log service.
    pub log_url: String,
    /// The list of live and leaving hosts.
    pub hosts_url: String,
    /// The origin of weights.
    pub origin_url: String,
    /// Region of the origin; default `none`, which takes the first by name.
    pub origin_region: String,
    /// Stream of the log that carries the configuration; default `config`.
    pub config_stream: String,
}

impl PlatformSettings {
    /// Settings with the default stream.
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
