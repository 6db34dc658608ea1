use std::io;
use std::net::SocketAddr;

use actix_web::http::Method;
use serde_json::Value;

use super::address_pool::AddressPool;
use super::host_thread::HostThread;
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
use crate::standin::HttpServerHandle;
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

/// Bearer token of the team that edits the configuration.
pub const TEAM_TOKEN: &str = "demo-team-token";

/// Name of the plain service.
pub const SERVICE: &str = "bookdesk";

const SHARED_KEY: &str = "the shared key of the demonstration";
const REGIONS: [&str; 2] = ["wa-coast", "or-north"];
const DOMAINS_PER_REGION: usize = 2;
const ENTRIES: usize = 2;
const SERVICE_HOSTS: usize = 2;

/// Interval of gossip rounds and of polls of the host list, in milliseconds.
const GOSSIP_AND_POLL_MS: u64 = 200;

const MIB: u64 = 1024 * 1024;
const LINK_BYTES_PER_S: u64 = 64 * MIB;
const LOG_RETENTION_MS: u64 = 3_600_000;
const ANSWER_TIMEOUT_MS: u64 = 5000;

/// The stand-ins for the platform's services.
#[derive(Debug)]
pub struct Platform {
    log: HttpServerHandle,
    hosts: HttpServerHandle,
    origin: HttpServerHandle,
}

/// An endpoint and the engine or service beside it.
#[derive(Debug)]
struct Host {
    name: String,
    thread: HostThread<(HttpServerHandle, EndpointHandle)>,
}

/// All processes of the demonstration, each host in its own thread.
#[derive(Debug)]
pub struct Fleet {
    platform: HostThread<Platform>,
    entries: Vec<HostThread<EntryHandle>>,
    engines: Vec<Host>,
    services: Vec<Host>,
    records: Vec<HostRecord>,
}

impl Fleet {
    /// Starts the stand-ins, the entries, `hosts` engine hosts and the service hosts.
    pub async fn start(hosts: u32) -> Result<Self, CliError> {
        let mut addresses = AddressPool::new();
        let platform = start_platform(&mut addresses).map_err(start_error)?;
        let mut fleet = Self {
            platform,
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            records: Vec::new(),
        };
        for index in 0..ENTRIES {
            let process = process_settings(HostRole::Entry, "entry", index, &mut addresses);
            fleet.start_entry(process).map_err(start_error)?;
        }
        for index in 0..hosts as usize {
            let process = process_settings(HostRole::Endpoint, "engine", index, &mut addresses);
            fleet
                .start_engine(process, addresses.next_address())
                .map_err(start_error)?;
        }
        for index in 0..SERVICE_HOSTS {
            let process = process_settings(HostRole::Endpoint, SERVICE, index, &mut addresses);
            fleet
                .start_service(process, addresses.next_address())
                .map_err(start_error)?;
        }
        fleet.register_hosts().await?;
        Ok(fleet)
    }

    /// Adds every host to the platform's list of hosts.
    async fn register_hosts(&self) -> Result<(), CliError> {
        let http = HttpClient::to_platform();
        for record in &self.records {
            let url = format!(
                "{}/v1/hosts/{}",
                self.platform.handles.hosts.url(),
                record.name
            );
            let _: Value = http
                .send_json(Method::PUT, &url, record, ANSWER_TIMEOUT_MS)
                .await
                .map_err(|error| CliError::Failed(format!("{url}: {error}")))?;
        }
        Ok(())
    }

    fn add_host_record(&mut self, process: &ProcessSettings, service: Option<&str>) {
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
        self.add_host_record(&process, None);
        let mut settings =
            EntrySettings::new(process, self.platform_settings(), cluster_settings());
        settings.teams.push(TeamSettings {
            name: "demo".to_owned(),
            token_digest: Digest::of_bytes(TEAM_TOKEN.as_bytes()),
            sections: vec!["*".to_owned()],
        });
        let thread = HostThread::start(move || entry::start_entry(settings))?;
        self.entries.push(thread);
        Ok(())
    }

    fn start_engine(
        &mut self,
        process: ProcessSettings,
        backend_address: SocketAddr,
    ) -> io::Result<()> {
        self.add_host_record(&process, None);
        let backend = BackendSettings::Engine {
            url: format!("http://{backend_address}"),
            checks_orders: true,
        };
        let settings = self.endpoint_settings(process, backend);
        let name = settings.process.name.clone();
        let thread = HostThread::start(move || async move {
            let backend = engine::start(EngineOptions::new(backend_address)).await?;
            Ok((backend, endpoint::start_endpoint(settings).await?))
        })?;
        self.engines.push(Host { name, thread });
        Ok(())
    }

    fn start_service(
        &mut self,
        process: ProcessSettings,
        backend_address: SocketAddr,
    ) -> io::Result<()> {
        self.add_host_record(&process, Some(SERVICE));
        let backend = BackendSettings::Service {
            url: format!("http://{backend_address}"),
            name: SERVICE.to_owned(),
        };
        let settings = self.endpoint_settings(process, backend);
        let name = settings.process.name.clone();
        let options = ServiceOptions {
            listen: backend_address,
            keeps_keys: false,
            delay_ms: 5,
            may_crash: false,
        };
        let thread = HostThread::start(move || async move {
            let backend = service::start(options).await?;
            Ok((backend, endpoint::start_endpoint(settings).await?))
        })?;
        self.services.push(Host { name, thread });
        Ok(())
    }

    fn platform_settings(&self) -> PlatformSettings {
        let platform = &self.platform.handles;
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
        let mut settings = EndpointSettings::new(
            process,
            self.platform_settings(),
            cluster_settings(),
            backend,
        );
        settings.weights.up_bytes_per_s = LINK_BYTES_PER_S;
        settings.weights.down_bytes_per_s = LINK_BYTES_PER_S;
        settings
    }

    /// Base URLs of the entries.
    pub fn entry_urls(&self) -> Vec<String> {
        self.entries
            .iter()
            .map(|entry| entry.handles.url())
            .collect()
    }

    /// Base URL of the origin.
    pub fn origin_url(&self) -> String {
        self.platform.handles.origin.url()
    }

    /// Name of the engine host with the most running requests.
    pub fn busiest_engine(&self) -> String {
        let running = |host: &&Host| host.thread.handles.1.node().own_state().load.running;
        let busiest = self.engines.iter().max_by_key(running);
        busiest.map_or_else(String::new, |host| host.name.clone())
    }

    /// Stops the engine host called `name` abruptly, as a crash would.
    pub async fn kill_engine_host(&mut self, name: &str) {
        let Some(index) = self.engines.iter().position(|host| host.name == name) else {
            return;
        };
        let mut host = self.engines.remove(index);
        host.kill().await;
    }

    /// Number of sends that the entries repeated.
    pub fn count_retries(&self) -> u64 {
        let retries_of = |entry: &HostThread<EntryHandle>| {
            let text = entry.handles.node().metrics().render();
            sum_retry_counters(&text)
        };
        self.entries.iter().map(retries_of).sum()
    }

    /// Executions recorded in the ledgers of the services.
    pub async fn executions(&self) -> Result<Vec<Execution>, CliError> {
        let http = HttpClient::to_platform();
        let mut executions = Vec::new();
        for host in &self.services {
            let url = format!("{}/ledger", host.thread.handles.0.url());
            let ledger: Vec<Execution> = http
                .get_json(&url, ANSWER_TIMEOUT_MS)
                .await
                .map_err(|error| CliError::Failed(format!("{url}: {error}")))?;
            executions.extend(ledger);
        }
        Ok(executions)
    }

    /// Stops all processes.
    pub async fn stop(mut self) {
        for host in self.engines.iter_mut().chain(&mut self.services) {
            host.kill().await;
        }
        for entry in &mut self.entries {
            entry.handles.kill().await;
            entry.kill();
        }
        self.platform.kill();
    }
}

impl Host {
    async fn kill(&mut self) {
        let (backend, endpoint) = &self.thread.handles;
        endpoint.kill().await;
        backend.kill().await;
        self.thread.kill();
    }
}

fn start_platform(addresses: &mut AddressPool) -> io::Result<HostThread<Platform>> {
    let log_options = LogOptions {
        listen: addresses.next_address(),
        retention_ms: LOG_RETENTION_MS,
    };
    let hosts_options = HostsOptions {
        listen: addresses.next_address(),
        lag_ms: 0,
    };
    let origin_options = OriginOptions {
        listen: addresses.next_address(),
        rate_bytes_per_s: LINK_BYTES_PER_S,
        burst_bytes: MIB,
    };
    HostThread::start(move || async move {
        Ok(Platform {
            log: log::start(log_options).await?,
            hosts: hosts::start(hosts_options).await?,
            origin: origin::start(origin_options).await?,
        })
    })
}

/// Sums the retry counters in a rendered metrics text.
fn sum_retry_counters(text: &str) -> u64 {
    text.lines()
        .filter(|line| line.starts_with(CounterKind::Retries.name()))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

/// Settings of process `index` of its kind; the processes alternate between the regions.
fn process_settings(
    role: HostRole,
    kind: &str,
    index: usize,
    addresses: &mut AddressPool,
) -> ProcessSettings {
    let region = REGIONS[index % REGIONS.len()];
    let domain = index / REGIONS.len() % DOMAINS_PER_REGION + 1;
    let name = format!("{kind}-{}", index + 1);
    ProcessSettings::new(
        role,
        name,
        region,
        format!("{region}-{domain}"),
        addresses.next_address(),
    )
}

fn cluster_settings() -> ClusterSettings {
    let mut cluster = ClusterSettings::new(SHARED_KEY);
    cluster.gossip_ms = GOSSIP_AND_POLL_MS;
    cluster.hosts_poll_ms = GOSSIP_AND_POLL_MS;
    cluster
}

fn start_error(error: io::Error) -> CliError {
    CliError::Failed(format!("the demonstration cannot start: {error}"))
}
