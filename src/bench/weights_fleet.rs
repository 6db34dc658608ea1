use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use actix::Actor;
use actix::Addr;
use actix_rt::Arbiter;
use actix_web::App;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;

use super::WeightsBench;
use crate::bench::weights_member_lists::MemberLists;
use crate::clients::OriginClient;
use crate::endpoint::StopTransfer;
use crate::endpoint::TransferOptions;
use crate::endpoint::WeightLink;
use crate::endpoint::WeightLinks;
use crate::endpoint::WeightsHosts;
use crate::endpoint::WeightsState;
use crate::endpoint::WeightsTransfer;
use crate::endpoint::configure_weights_routes;
use crate::links::HttpClient;
use crate::observe::Metrics;
use crate::weights::Digest;
use crate::weights::Manifest;
use crate::weights::MemoryBudget;
use crate::weights::PlanSettings;
use crate::weights::SwarmSettings;

/// Number of threads that run the transfers of all hosts.
const TRANSFER_THREADS: usize = 4;

/// Number of threads that serve the chunks of all surviving hosts.
const SERVER_THREADS: usize = 4;

/// Key with which the hosts authenticate each other.
const SHARED_KEY: &str = "bench";

/// Host of the fleet.
pub(super) struct FleetHost {
    pub(super) share: Arc<WeightsState>,
    /// Whether the host is killed during the transfer.
    pub(super) will_be_killed: bool,
    /// Time from the start of the transfers until the host served.
    served_ms: Arc<Mutex<Option<u64>>>,
    /// Address of the transfer actor, once started.
    transfer: Arc<Mutex<Option<Addr<WeightsTransfer>>>>,
    /// Server of its own, only for a host that will be killed.
    server: Option<ServerHandle>,
}

impl FleetHost {
    /// Time from the start of the transfers until the host served, if it does.
    pub(super) fn served_ms(&self) -> Option<u64> {
        *self.served_ms.lock().expect("no holder of the time panics")
    }
}

/// Hosts on loopback addresses, each with links of its own.
pub(super) struct WeightsFleet {
    pub(super) hosts: Vec<FleetHost>,
    /// Links between regions, each with its name `FROM>TO`.
    pub(super) crossings: Vec<(String, Arc<WeightLink>)>,
    addresses: Vec<SocketAddr>,
    arbiters: Vec<Arbiter>,
    /// Server of all surviving hosts.
    server: ServerHandle,
}

impl WeightsFleet {
    /// Starts the servers of all hosts; nothing is fetched yet.
    pub(super) fn start(bench: &WeightsBench) -> io::Result<Self> {
        let regions = bench.region_names();
        let crossings = crossing_links(bench, &regions);
        let mut hosts = Vec::new();
        for index in 0..bench.hosts {
            let region = &regions[index % regions.len()];
            hosts.push(FleetHost {
                share: weights_share(bench, index, region, &crossings),
                will_be_killed: bench.will_be_killed(index),
                served_ms: Arc::default(),
                transfer: Arc::default(),
                server: None,
            });
        }
        let listeners = bind_listeners(bench.hosts)?;
        let addresses: Vec<SocketAddr> = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<io::Result<_>>()?;
        let server = start_servers(&mut hosts, listeners, &addresses)?;
        let arbiters = (0..TRANSFER_THREADS).map(|_| Arbiter::new()).collect();
        Ok(Self {
            hosts,
            crossings,
            addresses,
            arbiters,
            server,
        })
    }

    /// Starts the transfer of the version on every host.
    pub(super) fn start_transfers(
        &self,
        bench: &WeightsBench,
        manifest: &Manifest,
        origin_url: &str,
        started: Instant,
    ) {
        let member_lists = MemberLists::new(bench, &self.addresses);
        for (index, host) in self.hosts.iter().enumerate() {
            let share = Arc::clone(&host.share);
            let manifest = manifest.clone();
            let view = member_lists.list_of(index);
            let options = transfer_options(bench, origin_url);
            let served_ms = Arc::clone(&host.served_ms);
            let transfer = Arc::clone(&host.transfer);
            self.arbiters[index % self.arbiters.len()].spawn_fn(move || {
                let digest = manifest.digest();
                let Some(actor) =
                    WeightsTransfer::new(Arc::clone(&share), manifest, &view, options)
                else {
                    return;
                };
                *transfer.lock().expect("no holder of the address panics") = Some(actor.start());
                actix_rt::spawn(load_and_serve(share, digest, served_ms, started));
            });
        }
    }

    /// Kills the hosts selected to be killed: their connections break and new ones are
    /// refused.
    pub(super) async fn kill_selected(&self) {
        for host in self.hosts.iter().filter(|host| host.will_be_killed) {
            let transfer = host
                .transfer
                .lock()
                .expect("no holder of the address panics")
                .clone();
            if let Some(transfer) = transfer {
                transfer.do_send(StopTransfer);
            }
            if let Some(server) = &host.server {
                server.stop(false).await;
            }
        }
    }

    /// Stops all transfers and servers.
    pub(super) async fn stop(self) {
        for arbiter in &self.arbiters {
            arbiter.stop();
        }
        self.server.stop(false).await;
        for host in &self.hosts {
            if let Some(server) = &host.server {
                server.stop(false).await;
            }
        }
    }
}

/// Acts as the engine of a host: loads the fetched version, reports its digest and
/// records when the host serves.
async fn load_and_serve(
    share: Arc<WeightsState>,
    digest: Digest,
    served_ms: Arc<Mutex<Option<u64>>>,
    started: Instant,
) {
    let Some(version) = share.version(digest) else {
        return;
    };
    version.wait_until_fetched().await;
    let Some(chunks) = version.loadable_chunks() else {
        return;
    };
    let mut hasher = blake3::Hasher::new();
    for chunk in &chunks {
        hasher.update(chunk);
    }
    version.confirm_loaded(hasher.finalize().into());
    version.start_serving();
    let elapsed_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    *served_ms.lock().expect("no holder of the time panics") = Some(elapsed_ms);
}

/// Options of each host's transfer.
fn transfer_options(bench: &WeightsBench, origin_url: &str) -> TransferOptions {
    TransferOptions {
        origin: OriginClient::new(origin_url),
        origin_region: bench.region_names()[0].clone(),
        http: HttpClient::to_processes(SHARED_KEY),
        swarm: SwarmSettings {
            plan: PlanSettings {
                max_regional_fetches: bench.fetches,
                max_imports: bench.max_imports(),
                max_fetches_per_peer: bench.max_fetches_per_peer(),
                ..PlanSettings::default()
            },
            max_probed_peers: bench.neighbours,
        },
        peer_timeout_ms: 3000,
        origin_timeout_ms: 120_000,
    }
}

/// Weights share of host `index` with its links to hosts and regions.
fn weights_share(
    bench: &WeightsBench,
    index: usize,
    region: &str,
    crossings: &[(String, Arc<WeightLink>)],
) -> Arc<WeightsState> {
    let mut links = WeightLinks::new(bench.host_bytes_per_s(), bench.host_bytes_per_s(), 0);
    if bench.shared_link {
        links.down = Arc::clone(&links.up);
    }
    let prefix = format!("{region}>");
    links.region_links = crossings
        .iter()
        .filter_map(|(pair, link)| Some((pair.strip_prefix(&prefix)?.to_owned(), Arc::clone(link))))
        .collect();
    WeightsState::new(
        WeightsBench::host_name(index),
        region,
        links,
        MemoryBudget::new(bench.bytes),
        Arc::new(Metrics::new()),
    )
}

/// Creates a link for each ordered pair of regions, named `FROM>TO`.
fn crossing_links(bench: &WeightsBench, regions: &[String]) -> Vec<(String, Arc<WeightLink>)> {
    let mut links = Vec::new();
    for from in regions {
        for to in regions.iter().filter(|to| *to != from) {
            let link = WeightLink::new(bench.crossing_bytes_per_s(), 0);
            links.push((format!("{from}>{to}"), link));
        }
    }
    links
}

/// Binds `count` listeners on free loopback ports.
fn bind_listeners(count: usize) -> io::Result<Vec<TcpListener>> {
    (0..count)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect()
}

/// Starts one server for all surviving hosts and one for each host that will be
/// killed; returns the handle of the former.
fn start_servers(
    hosts: &mut [FleetHost],
    listeners: Vec<TcpListener>,
    addresses: &[SocketAddr],
) -> io::Result<ServerHandle> {
    let surviving: Vec<(SocketAddr, Arc<WeightsState>)> = hosts
        .iter()
        .zip(addresses)
        .filter(|(host, _)| !host.will_be_killed)
        .map(|(host, address)| (*address, Arc::clone(&host.share)))
        .collect();
    let surviving_hosts = WeightsHosts::multiple(surviving, SHARED_KEY);
    let mut server = HttpServer::new(move || {
        let surviving_hosts = surviving_hosts.clone();
        App::new().configure(move |app| configure_weights_routes(app, surviving_hosts))
    })
    .workers(SERVER_THREADS)
    .disable_signals()
    .shutdown_timeout(0);
    for (host, listener) in hosts.iter_mut().zip(listeners) {
        if !host.will_be_killed {
            server = server.listen(listener)?;
            continue;
        }
        let killed_host = WeightsHosts::single(Arc::clone(&host.share), SHARED_KEY);
        let running = HttpServer::new(move || {
            let killed_host = killed_host.clone();
            App::new().configure(move |app| configure_weights_routes(app, killed_host))
        })
        .workers(1)
        .disable_signals()
        .shutdown_timeout(0)
        .listen(listener)?
        .run();
        host.server = Some(running.handle());
        actix_rt::spawn(running);
    }
    let running = server.run();
    let handle = running.handle();
    actix_rt::spawn(running);
    Ok(handle)
}
