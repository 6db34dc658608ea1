use std::io;
use std::net::SocketAddr;

use actix_web::http::Method;
use serde_json::Value;

use super::machine::Machine;
use super::places::Places;
use crate::cli::CliError;
use crate::conf::BackendSettings;
use crate::conf::ClusterSettings;
use crate::conf::EndpointSettings;
use crate::conf::EntrySettings;
use crate::conf::PlatformSettings;
use crate::conf::ProcessSettings;
use crate::conf::TeamSettings;
use crate::endpoint;
use crate::endpoint::EndpointHandle;
use crate::entry;
use crate::entry::EntryHandle;
use crate::hosts::HostRecord;
use crate::hosts::HostRole;
use crate::hosts::ListedState;
use crate::links::HttpClient;
use crate::observe::CounterKind;
use crate::standin::Handle;
use crate::standin::engine;
use crate::standin::engine::EngineOptions;
use crate::standin::hosts;
use crate::standin::hosts::HostsOptions;
use crate::standin::log;
use crate::standin::log::LogOptions;
use crate::standin::origin;
use crate::standin::origin::OriginOptions;
use crate::standin::service;
use crate::standin::service::Execution;
use crate::standin::service::ServiceOptions;
use crate::weights::Digest;

/// Bearer token of the team that operates the demonstration.
pub const TEAM_TOKEN: &str = "demo-team-token";

/// Plain service of the demonstration.
pub const SERVICE: &str = "bookdesk";

const SHARED_KEY: &str = "the shared key of the demonstration";
const REGIONS: [&str; 2] = ["wa-coast", "or-north"];
const DOMAINS_PER_REGION: usize = 2;
const ENTRIES: usize = 2;
const SERVICES: usize = 2;

/// Time between two rounds of gossip or polls of the host list.
const ROUND_MS: u64 = 200;

const MIB: u64 = 1024 * 1024;
const LINK_BYTES_PER_S: u64 = 64 * MIB;
const LOG_RETENTION_MS: u64 = 3_600_000;
const ANSWER_WAIT_MS: u64 = 5000;

/// Stand-ins of the platform.
#[derive(Debug)]
pub struct Platform {
    log: Handle,
    hosts: Handle,
    origin: Handle,
}

/// An endpoint process and the engine or service beside it.
#[derive(Debug)]
struct Host {
    name: String,
    machine: Machine<(Handle, EndpointHandle)>,
}

/// Every process of the demonstration.
#[derive(Debug)]
pub struct Fleet {
    platform: Machine<Platform>,
    entries: Vec<Machine<EntryHandle>>,
    engines: Vec<Host>,
    services: Vec<Host>,
    records: Vec<HostRecord>,
}

impl Fleet {
    /// Starts the stand-ins, the entries, `hosts` engine hosts and the services.
    pub async fn start(hosts: u32) -> Result<Self, CliError> {
        let mut places = Places::new();
        let platform = start_platform(&mut places).map_err(failed)?;
        let mut fleet = Self {
            platform,
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            records: Vec::new(),
        };
        for index in 0..ENTRIES {
            let process = process(HostRole::Entry, "entry", index, &mut places);
            fleet.start_entry(process).map_err(failed)?;
        }
        for index in 0..hosts as usize {
            let process = process(HostRole::Endpoint, "engine", index, &mut places);
            fleet.start_engine(process, places.next()).map_err(failed)?;
        }
        for index in 0..SERVICES {
            let process = process(HostRole::Endpoint, SERVICE, index, &mut places);
            fleet
                .start_service(process, places.next())
                .map_err(failed)?;
        }
        fleet.register().await?;
        Ok(fleet)
    }

    /// Tells the platform's list of every host.
    async fn register(&self) -> Result<(), CliError> {
        let http = HttpClient::to_platform();
        for record in &self.records {
            let url = format!(
                "{}/v1/hosts/{}",
                self.platform.parts.hosts.url(),
                record.name
            );
            let _: Value = http
                .send_json(Method::PUT, &url, record, ANSWER_WAIT_MS)
                .await
                .map_err(|error| CliError::Failed(format!("{url}: {error}")))?;
        }
        Ok(())
    }

    fn record(&mut self, process: &ProcessSettings, service: Option<&str>) {
        self.records.push(HostRecord {
            name: process.name.clone(),
            address: process.listen,
            role: process.role,
            region: process.region.clone(),
            domain: process.domain.clone(),
            service: service.map(str::to_owned),
            state: ListedState::Live,
        });
    }

    fn start_entry(&mut self, process: ProcessSettings) -> io::Result<()> {
        self.record(&process, None);
        let mut settings = EntrySettings::new(process, self.platform_settings(), cluster());
        settings.teams.push(TeamSettings {
            name: "demo".to_owned(),
            token_digest: Digest::of_bytes(TEAM_TOKEN.as_bytes()),
            sections: vec!["*".to_owned()],
        });
        let machine = Machine::start(move || entry::start_entry(settings))?;
        self.entries.push(machine);
        Ok(())
    }

    fn start_engine(&mut self, process: ProcessSettings, beside: SocketAddr) -> io::Result<()> {
        self.record(&process, None);
        let backend = BackendSettings::Engine {
            url: format!("http://{beside}"),
            checks_orders: true,
        };
        let settings = self.endpoint_settings(process, backend);
        let name = settings.process.name.clone();
        let machine = Machine::start(move || async move {
            let backend = engine::start(EngineOptions::new(beside)).await?;
            Ok((backend, endpoint::start(settings).await?))
        })?;
        self.engines.push(Host { name, machine });
        Ok(())
    }

    fn start_service(&mut self, process: ProcessSettings, beside: SocketAddr) -> io::Result<()> {
        self.record(&process, Some(SERVICE));
        let backend = BackendSettings::Service {
            url: format!("http://{beside}"),
            name: SERVICE.to_owned(),
        };
        let settings = self.endpoint_settings(process, backend);
        let name = settings.process.name.clone();
        let options = ServiceOptions {
            listen: beside,
            keeps_keys: false,
            delay_ms: 5,
            may_crash: false,
        };
        let machine = Machine::start(move || async move {
            let backend = service::start(options).await?;
            Ok((backend, endpoint::start(settings).await?))
        })?;
        self.services.push(Host { name, machine });
        Ok(())
    }

    fn platform_settings(&self) -> PlatformSettings {
        let platform = &self.platform.parts;
        PlatformSettings::new(
            platform.log.url(),
            platform.hosts.url(),
            platform.origin.url(),
        )
    }

    fn endpoint_settings(
        &self,
        process: ProcessSettings,
        backend: BackendSettings,
    ) -> EndpointSettings {
        let mut settings =
            EndpointSettings::new(process, self.platform_settings(), cluster(), backend);
        settings.weights.up_bytes_per_s = LINK_BYTES_PER_S;
        settings.weights.down_bytes_per_s = LINK_BYTES_PER_S;
        settings
    }

    /// Base URLs of the entries.
    pub fn entry_urls(&self) -> Vec<String> {
        self.entries.iter().map(|entry| entry.parts.url()).collect()
    }

    /// Base URL of the origin.
    pub fn origin_url(&self) -> String {
        self.platform.parts.origin.url()
    }

    /// Name of the engine host with the most running requests.
    pub fn busiest(&self) -> String {
        let running = |host: &&Host| host.machine.parts.1.node().own_state().load.running;
        let busiest = self.engines.iter().max_by_key(running);
        busiest.map_or_else(String::new, |host| host.name.clone())
    }

    /// Stops the engine host called `name` without notice.
    pub async fn kill(&mut self, name: &str) {
        let Some(at) = self.engines.iter().position(|host| host.name == name) else {
            return;
        };
        let mut host = self.engines.remove(at);
        host.kill().await;
    }

    /// Calls that the entries sent again.
    pub fn retries(&self) -> u64 {
        let counted = |entry: &Machine<EntryHandle>| {
            let text = entry.parts.node().metrics().render();
            retries_in(&text)
        };
        self.entries.iter().map(counted).sum()
    }

    /// What the services executed, as they noted it themselves.
    pub async fn executions(&self) -> Result<Vec<Execution>, CliError> {
        let http = HttpClient::to_platform();
        let mut executions = Vec::new();
        for host in &self.services {
            let url = format!("{}/ledger", host.machine.parts.0.url());
            let ledger: Vec<Execution> = http
                .get_json(&url, ANSWER_WAIT_MS)
                .await
                .map_err(|error| CliError::Failed(format!("{url}: {error}")))?;
            executions.extend(ledger);
        }
        Ok(executions)
    }

    /// Ends everything.
    pub async fn stop(mut self) {
        for host in self.engines.iter_mut().chain(&mut self.services) {
            host.kill().await;
        }
        for entry in &mut self.entries {
            entry.parts.kill().await;
            entry.kill();
        }
        self.platform.kill();
    }
}

impl Host {
    async fn kill(&mut self) {
        let (backend, endpoint) = &self.machine.parts;
        endpoint.kill().await;
        backend.kill().await;
        self.machine.kill();
    }
}

fn start_platform(places: &mut Places) -> io::Result<Machine<Platform>> {
    let log_options = LogOptions {
        listen: places.next(),
        retention_ms: LOG_RETENTION_MS,
    };
    let hosts_options = HostsOptions {
        listen: places.next(),
        lag_ms: 0,
    };
    let origin_options = OriginOptions {
        listen: places.next(),
        rate_bytes_per_s: LINK_BYTES_PER_S,
        burst_bytes: MIB,
    };
    Machine::start(move || async move {
        Ok(Platform {
            log: log::start(log_options).await?,
            hosts: hosts::start(hosts_options).await?,
            origin: origin::start(origin_options).await?,
        })
    })
}

/// Sum of the counters of retries in a metrics text.
fn retries_in(text: &str) -> u64 {
    text.lines()
        .filter(|line| line.starts_with(CounterKind::Retries.name()))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

fn process(role: HostRole, kind: &str, index: usize, places: &mut Places) -> ProcessSettings {
    let region = REGIONS[index % REGIONS.len()];
    let domain = index / REGIONS.len() % DOMAINS_PER_REGION + 1;
    let name = format!("{kind}-{}", index + 1);
    ProcessSettings::new(
        role,
        name,
        region,
        format!("{region}-{domain}"),
        places.next(),
    )
}

fn cluster() -> ClusterSettings {
    let mut cluster = ClusterSettings::new(SHARED_KEY);
    cluster.gossip_ms = ROUND_MS;
    cluster.hosts_poll_ms = ROUND_MS;
    cluster
}

fn failed(error: io::Error) -> CliError {
    CliError::Failed(format!("the demonstration cannot start: {error}"))
}
