use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use actix_rt::ArbiterHandle;
use actix_rt::System;
use actix_web::http::Method;
use serde_json::Value;

use crate::conf::BackendSettings;
use crate::conf::ClusterSettings;
use crate::conf::EndpointSettings;
use crate::conf::EntrySettings;
use crate::conf::PlatformSettings;
use crate::conf::ProcessSettings;
use crate::endpoint;
use crate::entry;
use crate::hosts::HostRecord;
use crate::hosts::HostRole;
use crate::hosts::HostState;
use crate::links::HttpClient;
use crate::links::LinkError;
use crate::node::Node;
use crate::standin::HttpServerHandle;
use crate::standin::hosts;
use crate::standin::hosts::HostsOptions;
use crate::standin::log;
use crate::standin::log::LogOptions;
use crate::standin::log::LogStats;

/// Key the processes share.
const SHARED_KEY: &str = "the shared key of the bench";

/// Time the log keeps a record.
const RETENTION_MS: u64 = 3_600_000;

/// Time for a call of the bench itself.
const CALL_WAIT_MS: u64 = 10_000;

/// Regions of the fleet.
const REGIONS: [&str; 2] = ["north", "south"];

/// One role on threads of its own, as a process would be.
#[derive(Debug)]
pub(super) struct ControlHost {
    pub(super) node: Arc<Node>,
    /// Threads that the role started.
    pub(super) threads: Vec<u32>,
    arbiter: ArbiterHandle,
    system: System,
}

/// Stand-ins, entries and endpoints of one measurement.
#[derive(Debug)]
pub(super) struct ControlFleet {
    log: HttpServerHandle,
    list: HttpServerHandle,
    pub(super) hosts: Vec<ControlHost>,
}

impl ControlFleet {
    /// Starts every role and lists it.
    pub(super) async fn start(entries: usize, endpoints: usize) -> io::Result<Self> {
        let log = log::start(LogOptions {
            listen: free_address()?,
            retention_ms: RETENTION_MS,
        })
        .await?;
        let list = hosts::start(HostsOptions {
            listen: free_address()?,
            lag_ms: 0,
        })
        .await?;
        let mut fleet = Self {
            log,
            list,
            hosts: Vec::new(),
        };
        for number in 0..entries {
            fleet.add(HostRole::Entry, number).await?;
        }
        for number in 0..endpoints {
            fleet.add(HostRole::Endpoint, number).await?;
        }
        Ok(fleet)
    }

    async fn add(&mut self, role: HostRole, number: usize) -> io::Result<()> {
        let address = free_address()?;
        let region = REGIONS[number % REGIONS.len()];
        let domain = format!("{region}-{}", number / REGIONS.len() % 2);
        let (name, service) = match role {
            HostRole::Entry => (format!("entry-{number:03}"), None),
            HostRole::Endpoint => (format!("endpoint-{number:03}"), Some("desk".to_owned())),
        };
        let process = ProcessSettings::new(role, &name, region, &domain, address);
        let platform = PlatformSettings::new(self.log.url(), self.list.url(), self.log.url());
        self.hosts.push(start_role(process, platform)?);
        let record = HostRecord {
            name: name.clone(),
            address,
            role,
            region: region.to_owned(),
            domain,
            service,
            state: HostState::Live,
        };
        let url = format!("{}/v1/hosts/{name}", self.list.url());
        let put: Result<Value, LinkError> = HttpClient::to_platform()
            .send_json(Method::PUT, &url, &record, CALL_WAIT_MS)
            .await;
        put.map(drop).map_err(io::Error::other)
    }

    /// Base URL of the log.
    pub(super) fn log_url(&self) -> String {
        self.log.url()
    }

    /// What the log has served.
    pub(super) async fn log_stats(&self) -> io::Result<LogStats> {
        let url = format!("{}/stats", self.log.url());
        let stats = HttpClient::to_platform().get_json(&url, CALL_WAIT_MS).await;
        stats.map_err(io::Error::other)
    }

    /// Processes where the record at `offset` is not in force.
    pub(super) fn lacking(&self, offset: u64) -> usize {
        let lacks = |host: &&ControlHost| host.node.follower().fold().head() <= offset;
        self.hosts.iter().filter(lacks).count()
    }

    /// Stops every third role from following for `time`.
    pub(super) fn pause_third(&self, time: Duration) {
        for host in self.hosts.iter().step_by(3) {
            host.arbiter.spawn_fn(move || thread::sleep(time));
        }
    }

    /// SimulatedPartition the regions from each other, and the second from the platform, for `time`.
    pub(super) fn cut_regions(&self, time: Duration) {
        let region_of = |host: &ControlHost| host.node.process().region.clone();
        for host in &self.hosts {
            let mut cut: Vec<SocketAddr> = self
                .hosts
                .iter()
                .filter(|other| region_of(other) != region_of(host))
                .map(|other| other.node.process().listen)
                .collect();
            if region_of(host) != REGIONS[0] {
                cut.push(self.log.address());
                cut.push(self.list.address());
            }
            host.node.cuts().start(cut, time);
        }
    }

    /// Ends every role and stand-in.
    pub(super) async fn stop(self) {
        for host in &self.hosts {
            host.system.stop();
        }
        self.log.kill().await;
        self.list.kill().await;
    }
}

/// Starts a role on a system of its own and notes which threads it started.
fn start_role(process: ProcessSettings, platform: PlatformSettings) -> io::Result<ControlHost> {
    let before = threads()?;
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let runner = System::new();
        let started = runner.block_on(start_node(process, platform));
        let system = System::current();
        let arbiter = system.arbiter().clone();
        if sender
            .send(started.map(|node| (node, arbiter, system)))
            .is_ok()
        {
            // The run ends when the fleet stops the system.
            let _ = runner.run();
        }
    });
    let (node, arbiter, system) = receiver.recv().map_err(io::Error::other)??;
    let mut started = threads()?;
    started.retain(|thread| before.binary_search(thread).is_err());
    Ok(ControlHost {
        node,
        threads: started,
        arbiter,
        system,
    })
}

async fn start_node(process: ProcessSettings, platform: PlatformSettings) -> io::Result<Arc<Node>> {
    let cluster = ClusterSettings::new(SHARED_KEY);
    match process.role {
        HostRole::Entry => {
            let settings = EntrySettings::new(process, platform, cluster);
            Ok(Arc::clone(entry::start_entry(settings).await?.node()))
        }
        HostRole::Endpoint => {
            let backend = BackendSettings::Service {
                url: "http://127.0.0.1:1".to_owned(),
                name: "desk".to_owned(),
            };
            let settings = EndpointSettings::new(process, platform, cluster, backend);
            Ok(Arc::clone(endpoint::start_endpoint(settings).await?.node()))
        }
    }
}

/// Threads of this process, in ascending order.
fn threads() -> io::Result<Vec<u32>> {
    let mut threads = Vec::new();
    for entry in fs::read_dir("/proc/self/task")? {
        if let Some(thread) = entry?
            .file_name()
            .to_str()
            .and_then(|name| name.parse().ok())
        {
            threads.push(thread);
        }
    }
    threads.sort_unstable();
    Ok(threads)
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}
