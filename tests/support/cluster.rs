use std::fs;
use std::fs::File;
use std::path::PathBuf;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use actix_web::http::Method;
use bytes::Bytes;
use serde_json::Value;
use serde_json::json;

use super::Process;
use super::until;
use bergamotfork::clients::LogClient;
use bergamotfork::document::Edit;
use bergamotfork::document::LogRecord;
use bergamotfork::links::HttpClient;
use bergamotfork::links::LinkError;
use bergamotfork::weights::Digest;

/// Bearer token that every test uses for its branch and its team.
pub const TOKEN: &str = "token of the tests";

/// Number of consecutive ports reserved for one cluster.
const PORTS_PER_CLUSTER: u16 = 200;

/// Port of an engine or service minus the port of its endpoint.
const BACKEND_PORT_OFFSET: u16 = 100;

/// First port of the next cluster that this test process starts.
static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);

/// Entries, endpoints and stand-ins for the platform, each in its own process on loopback.
#[derive(Debug)]
pub struct Cluster {
    ip: String,
    base_port: u16,
    next_port: u16,
    folder: PathBuf,
    /// Settings of the section `[endpoint]` of endpoints that are started from now on.
    pub endpoint_settings: String,
    /// Settings of the section `[process]` of entries and endpoints that are started from now on.
    pub process_settings: String,
    /// Whether processes that are started from now on write their logs to files.
    pub logs_to_files: bool,
    /// Running processes, each with its host name.
    pub processes: Vec<(String, Process)>,
}

impl Cluster {
    /// Key that all processes of the cluster share.
    pub const SHARED_KEY: &str = "a shared key for the tests";

    /// Starts the stand-ins for the log, the host list and the origin.
    pub async fn new() -> Self {
        Self::with_log_args(&[]).await
    }

    /// Starts the stand-ins as `new` does and passes `log_args` to the log.
    pub async fn with_log_args(log_args: &[&str]) -> Self {
        // Each test process has a loopback address of its own, so ports never clash.
        let id = std::process::id();
        let ip = format!("127.{}.{}.1", 1 + (id >> 8) % 250, id % 256);
        let base_port = NEXT_PORT.fetch_add(PORTS_PER_CLUSTER, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("bergamotfork-{id}-{base_port}"));
        fs::create_dir_all(&folder).expect("the settings folder is created");
        let mut cluster = Self {
            ip,
            base_port,
            next_port: base_port + 10,
            folder,
            endpoint_settings: String::new(),
            process_settings: String::new(),
            logs_to_files: false,
            processes: Vec::new(),
        };
        let log = cluster.stand_in_address(0);
        let mut args = vec!["standin", "log", "--listen", &log];
        args.extend(log_args);
        cluster.start_process("log", &args);
        let hosts = cluster.stand_in_address(1);
        cluster.start_process("hosts", &["standin", "hosts", "--listen", &hosts]);
        let origin = cluster.stand_in_address(2);
        cluster.start_process("origin", &["standin", "origin", "--listen", &origin]);
        for number in 0..3 {
            cluster
                .wait_until_listening(&cluster.stand_in_address(number))
                .await;
        }
        cluster
    }

    /// Address of a stand-in: 0 is the log, 1 the host list, 2 the origin.
    fn stand_in_address(&self, number: u16) -> String {
        format!("{}:{}", self.ip, self.base_port + number)
    }

    /// Base URL of the log.
    pub fn log_url(&self) -> String {
        format!("http://{}", self.stand_in_address(0))
    }

    /// Base URL of the host list.
    pub fn hosts_url(&self) -> String {
        format!("http://{}", self.stand_in_address(1))
    }

    /// Base URL of the origin.
    pub fn origin_url(&self) -> String {
        format!("http://{}", self.stand_in_address(2))
    }

    fn start_process(&mut self, name: &str, args: &[&str]) {
        let process = if self.logs_to_files {
            let file = File::create(self.log_path(name)).expect("the log file is created");
            Process::start_logging_to(args, file)
        } else {
            Process::start(args)
        };
        self.processes.push((name.to_owned(), process));
    }

    /// File with the log of the process of the host called `name`.
    pub fn log_path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }

    /// Returns the process of the host called `name`; panics if there is none.
    pub fn process(&mut self, name: &str) -> &mut Process {
        let entry = self.processes.iter_mut().find(|(known, _)| known == name);
        &mut entry.expect("the process was started").1
    }

    async fn wait_until_listening(&self, address: &str) {
        until(&format!("{address} listens"), 20, async || {
            std::net::TcpStream::connect(address).ok()
        })
        .await;
    }

    /// Starts an entry and returns its base URL; `settings` is appended to its `[entry]` section.
    pub async fn start_entry(&mut self, name: &str, region: &str, settings: &str) -> String {
        let address = self.reserve_address();
        let drain = match settings.contains("drain_ms") {
            true => "",
            false => "drain_ms = 10000",
        };
        let body = format!(
            "[entry]\naddress_lifetime_ms = 500\n{drain}\n{settings}\n\
             [team platform]\ntoken_digest = {}\nsections = model *, branch *, service *\n",
            Digest::of_bytes(TOKEN.as_bytes())
        );
        self.start_host("entry", name, region, &address, &body, None)
            .await;
        format!("http://{address}")
    }

    /// Starts an engine stand-in and its endpoint; returns the address of the endpoint.
    pub async fn start_engine(&mut self, name: &str, region: &str, engine_args: &[&str]) -> String {
        let address = self.reserve_address();
        let backend = self.backend_of(&address);
        let mut args = vec!["standin", "engine", "--listen", &backend];
        args.extend(engine_args);
        self.start_process(&format!("{name}-engine"), &args);
        self.wait_until_listening(&backend).await;
        self.start_engine_endpoint(name, region, &address, &backend, "")
            .await;
        address
    }

    /// Starts or restarts an engine stand-in at `backend` without an endpoint.
    pub fn start_bare_engine(&mut self, name: &str, backend: &str) {
        self.processes.retain(|(known, _)| known != name);
        self.start_process(name, &["standin", "engine", "--listen", backend]);
    }

    /// Reserves an address that nothing else in this cluster uses.
    pub fn unused_address(&mut self) -> String {
        self.reserve_address()
    }

    /// Starts an endpoint for the engine at `backend`; `settings` is appended to `[backend]`.
    pub async fn start_endpoint(
        &mut self,
        name: &str,
        region: &str,
        backend: &str,
        settings: &str,
    ) {
        let address = self.reserve_address();
        self.start_engine_endpoint(name, region, &address, backend, settings)
            .await;
    }

    async fn start_engine_endpoint(
        &mut self,
        name: &str,
        region: &str,
        address: &str,
        backend: &str,
        settings: &str,
    ) {
        let body = format!(
            "[backend]\nkind = engine\nurl = http://{backend}\nchecks_orders = yes\n{settings}\n\
             [endpoint]\n{}\n",
            self.endpoint_settings
        );
        self.start_host("endpoint", name, region, address, &body, None)
            .await;
    }

    /// Starts a service stand-in and its endpoint; returns the address of the endpoint.
    pub async fn start_service(
        &mut self,
        name: &str,
        region: &str,
        service: &str,
        service_args: &[&str],
    ) -> String {
        let address = self.reserve_address();
        let backend = self.backend_of(&address);
        let mut args = vec!["standin", "service", "--listen", &backend];
        args.extend(service_args);
        self.start_process(&format!("{name}-service"), &args);
        self.wait_until_listening(&backend).await;
        let body = format!(
            "[backend]\nkind = service\nurl = http://{backend}\nname = {service}\n\
             [endpoint]\n{}\n",
            self.endpoint_settings
        );
        self.start_host("endpoint", name, region, &address, &body, Some(service))
            .await;
        address
    }

    /// Address of the engine or service that the endpoint at `address` serves.
    pub fn backend_of(&self, address: &str) -> String {
        let (ip, port) = address.rsplit_once(':').expect("an address has a port");
        let port: u16 = port.parse().expect("a port is a number");
        format!("{ip}:{}", port + BACKEND_PORT_OFFSET)
    }

    fn reserve_address(&mut self) -> String {
        self.next_port += 1;
        format!("{}:{}", self.ip, self.next_port)
    }

    /// Writes the settings of a host, starts its process and adds it to the host list.
    async fn start_host(
        &mut self,
        role: &str,
        name: &str,
        region: &str,
        address: &str,
        body: &str,
        service: Option<&str>,
    ) {
        let text = format!(
            "[process]\nrole = {role}\nname = {name}\nregion = {region}\ndomain = {region}-a\n\
             listen = {address}\nlog_level = warn\n{}\n\
             [platform]\nlog_url = {}\nhosts_url = {}\norigin_url = {}\n\
             [cluster]\nshared_key = {}\ngossip_ms = 200\nhosts_poll_ms = 200\n{body}",
            self.process_settings,
            self.log_url(),
            self.hosts_url(),
            self.origin_url(),
            Self::SHARED_KEY,
        );
        let path = self.folder.join(format!("{name}.ini"));
        fs::write(&path, text).expect("the settings are written");
        self.restart(role, name);
        let record = json!({
            "name": name, "address": address, "role": role, "region": region,
            "domain": format!("{region}-a"), "service": service, "state": "live",
        });
        let url = format!("{}/v1/hosts/{name}", self.hosts_url());
        let added: Result<Value, _> = HttpClient::to_platform()
            .send_json(Method::PUT, &url, &record, 5000)
            .await;
        added.expect("the host list accepts the host");
        self.wait_until_listening(address).await;
    }

    /// Starts the process of a host again, with the settings it had before.
    pub fn restart(&mut self, role: &str, name: &str) {
        let path = self.folder.join(format!("{name}.ini"));
        let path = path.to_str().expect("the path is text").to_owned();
        self.processes.retain(|(known, _)| known != name);
        self.start_process(name, &[role, "--settings", &path]);
    }

    /// Publishes weights of `size_bytes` at the origin; returns the digest of their manifest.
    pub async fn publish(&self, model: &str, version: &str, size_bytes: u64) -> String {
        let publication = json!({
            "model": model, "version": version, "size_bytes": size_bytes,
            "chunk_bytes": 65_536, "seed": 7, "base": null,
        });
        let url = format!("{}/v1/publish", self.origin_url());
        let answer: Value = HttpClient::to_platform()
            .send_json(Method::POST, &url, &publication, 10_000)
            .await
            .expect("the origin accepts the version");
        answer["manifest"]
            .as_str()
            .expect("the answer names the manifest")
            .to_owned()
    }

    /// Appends an edit to the log without going through an entry; returns its offset.
    pub async fn append_edit(&self, section: &str, base_revision: u64, body: &str) -> u64 {
        let edit = Edit {
            edit_id: format!("{section} {base_revision}"),
            team: "platform".to_owned(),
            section: section.to_owned(),
            base_revision,
            body: Some(body.to_owned()),
        };
        LogClient::new(&self.log_url(), "config")
            .append(LogRecord::Edit(edit).encode())
            .await
            .expect("the log accepts the edit")
    }

    /// Sets the faults that the stand-in at `base_url` injects.
    pub async fn set_faults(&self, base_url: &str, faults: &Value) {
        let url = format!("{base_url}/fault");
        let accepted: Result<Value, _> = HttpClient::to_platform()
            .send_json(Method::POST, &url, faults, 5000)
            .await;
        accepted.expect("the stand-in accepts the faults");
    }

    /// Sends a request with the bearer token `TOKEN` and reads the complete answer.
    pub async fn send_request(
        &self,
        method: Method,
        url: &str,
        body: Option<&Value>,
    ) -> Result<Bytes, LinkError> {
        let request = HttpClient::to_platform()
            .request(method, url)
            .insert_header(("authorization", format!("Bearer {TOKEN}")))
            .insert_header(("content-type", "application/json"));
        let body = body.map_or_else(Vec::new, |body| body.to_string().into_bytes());
        HttpClient::send_and_read(request, body, 30_000).await
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
