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
use crate::hosts::ListedState;
use crate::links::HttpClient;
use crate::links::LinkError;
use crate::node::Node;
use crate::standin::HttpServerHandle;
use crate::standin::hosts;
use crate::standin::hosts::HostsOptions;
use crate::standin::log;
use crate::standin::log::LogOptions;
use crate::standin::log::LogStats;

/// Key with which the processes authenticate each other.
const SHARED_KEY: &str = "the shared key of the bench";

/// Time for which the log retains a record.
const RETENTION_MS: u64 = 3_600_000;

/// Timeout of the bench's own calls to the stand-ins.
const CALL_TIMEOUT_MS: u64 = 10_000;

/// Regions of the fleet; hosts alternate between them.
const REGIONS: [&str; 2] = ["north", "south"];

/// Entry or endpoint that runs in an actix system on threads of its own, in place
/// of a process.
#[derive(Debug)]
pub(super) struct ControlHost {
    pub(super) node: Arc<Node>,
    /// Ids of the threads that the host started.
    pub(super) threads: Vec<u32>,
    arbiter: ArbiterHandle,
    system: System,
}

/// Platform stand-ins, entries and endpoints of one measurement.
#[derive(Debug)]
pub(super) struct ControlFleet {
    log: HttpServerHandle,
    host_list: HttpServerHandle,
    pub(super) hosts: Vec<ControlHost>,
}

impl ControlFleet {
    /// Starts the stand-ins and every host, and registers the hosts in the list.
    pub(super) async fn start(entries: usize, endpoints: usize) -> io::Result<Self> {
        let log = log::start(LogOptions {
            listen: free_address()?,
            retention_ms: RETENTION_MS,
        })
        .await?;
        let host_list = hosts::start(HostsOptions {
            listen: free_address()?,
            lag_ms: 0,
        })
        .await?;
        let mut fleet = Self {
            log,
            host_list,
            hosts: Vec::new(),
        };
        for number in 0..entries {
            fleet.add_host(HostRole::Entry, number).await?;
        }
        for number in 0..endpoints {
            fleet.add_host(HostRole::Endpoint, number).await?;
        }
        Ok(fleet)
    }

    /// Starts a host and registers it in the host list.
    async fn add_host(&mut self, role: HostRole, number: usize) -> io::Result<()> {
        let address = free_address()?;
        let region = REGIONS[number % REGIONS.len()];
        let domain = format!("{region}-{}", number / REGIONS.len() % 2);
        let (name, service) = match role {
            HostRole::Entry => (format!("entry-{number:03}"), None),
            HostRole::Endpoint => (format!("endpoint-{number:03}"), Some("desk".to_owned())),
        };
        let process = ProcessSettings::new(role, &name, region, &domain, address);
        let platform = PlatformSettings::new(self.log.url(), self.host_list.url(), self.log.url());
        self.hosts.push(start_host(process, platform)?);
        let record = HostRecord {
            name: name.clone(),
            address,
            role,
            region: region.to_owned(),
            domain,
            service,
            state: ListedState::Live,
        };
        let url = format!("{}/v1/hosts/{name}", self.host_list.url());
        let put: Result<Value, LinkError> = HttpClient::to_platform()
            .send_json(Method::PUT, &url, &record, CALL_TIMEOUT_MS)
            .await;
        put.map(drop).map_err(io::Error::other)
    }

    /// Base URL of the log stand-in.
    pub(super) fn log_url(&self) -> String {
        self.log.url()
    }

    /// Counters of the appends and reads that the log has served.
    pub(super) async fn log_stats(&self) -> io::Result<LogStats> {
        let url = format!("{}/stats", self.log.url());
        let stats = HttpClient::to_platform()
            .get_json(&url, CALL_TIMEOUT_MS)
            .await;
        stats.map_err(io::Error::other)
    }

    /// Number of hosts on which the record at `offset` is not in force.
    pub(super) fn count_lacking(&self, offset: u64) -> usize {
        let is_lacking = |host: &&ControlHost| host.node.follower().fold().head() <= offset;
        self.hosts.iter().filter(is_lacking).count()
    }

    /// Blocks the main thread of every third host for `time`, so that it does not follow
    /// the log.
    pub(super) fn pause_third(&self, time: Duration) {
        for host in self.hosts.iter().step_by(3) {
            host.arbiter.spawn_fn(move || thread::sleep(time));
        }
    }

    /// For `time`, blocks connections between the regions and from the second region
    /// to the platform stand-ins.
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
                cut.push(self.host_list.address());
            }
            host.node.simulated_partition().start(cut, time);
        }
    }

    /// Stops every host and stand-in.
    pub(super) async fn stop(self) {
        for host in &self.hosts {
            host.system.stop();
        }
        self.log.kill().await;
        self.host_list.kill().await;
    }
}

/// Starts a host in an actix system of its own and finds the threads it started by
/// comparing the thread ids before and after.
fn start_host(process: ProcessSettings, platform: PlatformSettings) -> io::Result<ControlHost> {
    let before = thread_ids()?;
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
            // Runs until `ControlFleet::stop` stops the system.
            let _ = runner.run();
        }
    });
    let (node, arbiter, system) = receiver.recv().map_err(io::Error::other)??;
    let mut started = thread_ids()?;
    started.retain(|thread| before.binary_search(thread).is_err());
    Ok(ControlHost {
        node,
        threads: started,
        arbiter,
        system,
    })
}

/// Starts the entry or endpoint on the current system and returns its node.
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

/// Ids of the threads of this process, in ascending order.
fn thread_ids() -> io::Result<Vec<u32>> {
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

/// Loopback address with a port that was free when it was chosen.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}
