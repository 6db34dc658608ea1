use std::net::SocketAddr;

use super::SettingsReader;
use super::settings_reader::NAME_ALLOWED;
use super::settings_reader::parse_url_address;

const SECTION: &str = "backend";

/// Which keys of `[backend]` a kind uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BackendKind {
    Engine,
    Service,
}

const KINDS: [(&str, BackendKind); 2] = [
    ("engine", BackendKind::Engine),
    ("service", BackendKind::Service),
];
const YES_NO: [(&str, bool); 2] = [("yes", true), ("no", false)];

/// What stands beside an endpoint process.
#[derive(Debug, Clone)]
pub enum BackendSettings {
    /// A model engine.
    Engine {
        /// Where it listens.
        url: String,
        /// Whether it refuses an order with an old number.
        checks_orders: bool,
    },
    /// A plain service.
    Service {
        /// Where it listens.
        url: String,
        /// Name of the service in the configuration.
        name: String,
    },
}

impl BackendSettings {
    /// Where the engine or service listens.
    pub fn url(&self) -> &str {
        match self {
            Self::Engine { url, .. } | Self::Service { url, .. } => url,
        }
    }

    pub(super) fn read(reader: &mut SettingsReader, listen: SocketAddr) -> Self {
        let kind = reader.choice(SECTION, "kind", &KINDS, None);
        let url = reader.url(SECTION, "url");
        if parse_url_address(&url) == Some(listen) {
            let problem = "the endpoint itself listens there";
            let allowed = "an address other than that of [process] listen";
            reader.add_fault(SECTION, "url", Some(&url), problem, allowed);
        }
        match kind {
            Some(BackendKind::Service) => Self::read_service(reader, url),
            Some(BackendKind::Engine) => Self::read_engine(reader, url),
            None => {
                Self::declare_keys(reader);
                Self::Engine {
                    url,
                    checks_orders: false,
                }
            }
        }
    }

    fn read_engine(reader: &mut SettingsReader, url: String) -> Self {
        Self::Engine {
            url,
            checks_orders: reader
                .choice(SECTION, "checks_orders", &YES_NO, Some("no"))
                .unwrap_or_default(),
        }
    }

    fn read_service(reader: &mut SettingsReader, url: String) -> Self {
        Self::Service {
            url,
            name: reader.name(SECTION, "name"),
        }
    }

    /// Accepts the keys of either kind while the kind is unknown.
    fn declare_keys(reader: &mut SettingsReader) {
        reader.declare_key(SECTION, "checks_orders", "yes, no", Some("no"));
        reader.declare_key(SECTION, "name", NAME_ALLOWED, None);
    }
}
