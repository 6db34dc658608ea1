use std::net::Ipv4Addr;
use std::net::SocketAddr;

use log::LevelFilter;

use super::LogFormat;
use super::NumberKey;
use super::SettingsReader;
use super::Unit;
use crate::hosts::HostRole;
use crate::http1::ListenerLoad;

const SECTION: &str = "process";

/// Description of the accepted addresses.
const LISTEN_ALLOWED: &str = "IP:port by number, neither 0.0.0.0 nor port 0";

const ROLES: [(&str, HostRole); 2] = [("entry", HostRole::Entry), ("endpoint", HostRole::Endpoint)];

const LOG_FORMATS: [(&str, LogFormat); 2] = [("text", LogFormat::Text), ("json", LogFormat::Json)];

const LOG_LEVELS: [(&str, LevelFilter); 5] = [
    ("error", LevelFilter::Error),
    ("warn", LevelFilter::Warn),
    ("info", LevelFilter::Info),
    ("debug", LevelFilter::Debug),
    ("trace", LevelFilter::Trace),
];

const MAX_CONNECTIONS: NumberKey = NumberKey {
    key: "max_connections",
    unit: Unit::Count,
    range: 16..=65_536,
    default: 4_096,
};

const RECEIVE_BUFFER_BYTES: NumberKey = NumberKey {
    key: "receive_buffer_bytes",
    unit: Unit::Bytes,
    range: 4_096..=1_048_576,
    default: 16_384,
};

/// Identity, location and logging of a process.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    /// Role of the process.
    pub role: HostRole,
    /// Name, unique among the hosts.
    pub name: String,
    /// Region of the process.
    pub region: String,
    /// Failure domain within the region.
    pub domain: String,
    /// Address that the process listens on and that other hosts connect to.
    pub listen: SocketAddr,
    /// Connections that are served at once; default 4096.
    pub max_connections: u64,
    /// Size of the receive buffer of a connection; default 16384.
    pub receive_buffer_bytes: u64,
    /// Format of the log; default `text`.
    pub log_format: LogFormat,
    /// Lowest level that is logged; default `info`.
    pub log_level: LevelFilter,
}

impl ProcessSettings {
    /// Creates settings with the defaults for logging.
    pub fn new(
        role: HostRole,
        name: impl Into<String>,
        region: impl Into<String>,
        domain: impl Into<String>,
        listen: SocketAddr,
    ) -> Self {
        Self {
            role,
            name: name.into(),
            region: region.into(),
            domain: domain.into(),
            listen,
            max_connections: MAX_CONNECTIONS.default,
            receive_buffer_bytes: RECEIVE_BUFFER_BYTES.default,
            log_format: LogFormat::default(),
            log_level: LevelFilter::Info,
        }
    }

    /// Connections that its server serves at once.
    pub fn listener_load(&self) -> ListenerLoad {
        ListenerLoad {
            max_connections: self.max_connections as usize,
            receive_buffer_bytes: self.receive_buffer_bytes as u32,
        }
    }

    /// Reads all keys; a file for another role than `role` is a fault.
    pub(super) fn read(reader: &mut SettingsReader, role: HostRole) -> Self {
        let found_role = read_role(reader);
        if found_role.is_some_and(|found| found != role) {
            let value = role_name(found_role.unwrap_or(role));
            let problem = "the file belongs to another role";
            reader.add_fault(SECTION, "role", Some(value), problem, role_name(role));
        }
        let listen = reader.value(SECTION, "listen", LISTEN_ALLOWED);
        Self {
            role,
            name: reader.name(SECTION, "name"),
            region: reader.name(SECTION, "region"),
            domain: reader.name(SECTION, "domain"),
            listen: check_listen(reader, listen),
            max_connections: reader.number(SECTION, &MAX_CONNECTIONS),
            receive_buffer_bytes: reader.number(SECTION, &RECEIVE_BUFFER_BYTES),
            log_format: reader
                .choice(SECTION, "log_format", &LOG_FORMATS, Some("text"))
                .unwrap_or_default(),
            log_level: reader
                .choice(SECTION, "log_level", &LOG_LEVELS, Some("info"))
                .unwrap_or(LevelFilter::Info),
        }
    }
}

/// Reads only the role, to find out which settings the file must hold.
pub(super) fn read_role(reader: &mut SettingsReader) -> Option<HostRole> {
    reader.choice(SECTION, "role", &ROLES, None)
}

/// Name of `role` in settings files.
pub fn role_name(role: HostRole) -> &'static str {
    match role {
        HostRole::Entry => "entry",
        HostRole::Endpoint => "endpoint",
    }
}

/// Checks that other hosts can connect to the address, as it is reported to them.
///
/// A missing address becomes a placeholder.
fn check_listen(reader: &mut SettingsReader, listen: Option<SocketAddr>) -> SocketAddr {
    let Some(address) = listen else {
        return SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    };
    if address.ip().is_unspecified() || address.port() == 0 {
        let value = address.to_string();
        let problem = "other hosts cannot reach the address";
        reader.add_fault(SECTION, "listen", Some(&value), problem, LISTEN_ALLOWED);
    }
    address
}
