use std::net::SocketAddr;

use super::SettingsReader;
use super::settings_reader::NAME_ALLOWED;
use super::settings_reader::parse_url_address;

const SECTION: &str = "backend";

/// Value of `kind` in `[backend]`, which determines the other keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BackendKind {
    Engine,
    Service,
}

const KINDS: [(&str, BackendKind); 2] = [
    ("engine", BackendKind::Engine),
    ("service", BackendKind::Service),
];

/// Values of a key that is on or off.
const YES_NO: [(&str, bool); 2] = [("yes", true), ("no", false)];

/// Engine or service that an endpoint process sends requests to.
#[derive(Debug, Clone)]
pub enum BackendSettings {
    /// Engine that serves models.
    Engine {
        /// Base URL of the engine.
        url: String,
        /// Whether the engine refuses orders with a lower fencing number than before.
        checks_orders: bool,
    },
    /// Plain service, without weights.
    Service {
        /// Base URL of the service.
        url: String,
        /// Name of the service in the configuration.
        name: String,
    },
}

impl BackendSettings {
    /// Base URL of the engine or service.
    pub fn url(&self) -> &str {
        match self {
            Self::Engine { url, .. } | Self::Service { url, .. } => url,
        }
    }

    /// Reads all keys; a backend at the address `listen` of the endpoint itself is a fault.
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

    /// Declares the keys of both kinds, as the kind is missing or invalid.
    fn declare_keys(reader: &mut SettingsReader) {
        reader.declare_key(SECTION, "checks_orders", "yes, no", Some("no"));
        reader.declare_key(SECTION, "name", NAME_ALLOWED, None);
    }
}
