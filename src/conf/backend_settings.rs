use std::net::SocketAddr;

use super::Reader;
use super::reader::NAME_ALLOWED;
use super::reader::url_address;

const SECTION: &str = "backend";

/// Which keys of `[backend]` a kind uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Engine,
    Service,
}

const KINDS: [(&str, Kind); 2] = [("engine", Kind::Engine), ("service", Kind::Service)];
const SWITCH: [(&str, bool); 2] = [("yes", true), ("no", false)];

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

    pub(super) fn read(reader: &mut Reader, listen: SocketAddr) -> Self {
        let kind = reader.choice(SECTION, "kind", &KINDS, None);
        let url = reader.url(SECTION, "url");
        if url_address(&url) == Some(listen) {
            let problem = "the endpoint itself listens there";
            let allowed = "an address other than that of [process] listen";
            reader.fault(SECTION, "url", Some(&url), problem, allowed);
        }
        match kind {
            Some(Kind::Service) => Self::read_service(reader, url),
            Some(Kind::Engine) => Self::read_engine(reader, url),
            None => {
                Self::declare(reader);
                Self::Engine {
                    url,
                    checks_orders: false,
                }
            }
        }
    }

    fn read_engine(reader: &mut Reader, url: String) -> Self {
        Self::Engine {
            url,
            checks_orders: reader
                .choice(SECTION, "checks_orders", &SWITCH, Some("no"))
                .unwrap_or_default(),
        }
    }

    fn read_service(reader: &mut Reader, url: String) -> Self {
        Self::Service {
            url,
            name: reader.name(SECTION, "name"),
        }
    }

    /// Accepts the keys of either kind while the kind is unknown.
    fn declare(reader: &mut Reader) {
        reader.declare(SECTION, "checks_orders", "yes, no", Some("no"));
        reader.declare(SECTION, "name", NAME_ALLOWED, None);
    }
}
