use std::fs;
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

/// Bearer token of the branch and team of every test.
pub const TOKEN: &str = "token of the tests";

/// Ports one cluster may use.
const PORTS: u16 = 200;

/// Offset of the port of an engine or service from that of its endpoint.
const BACKEND_PORT: u16 = 100;

static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);

/// A small system with stand-ins for the platform, each part a process.
#[derive(Debug)]
pub struct Cluster {
    ip: String,
    base_port: u16,
    next_port: u16,
    folder: PathBuf,
    /// Processes with the names of their hosts.
    pub processes: Vec<(String, Process)>,
}

impl Cluster {
    /// Shared key of the processes.
    pub const SHARED_KEY: &str = "a shared key for the tests";

    /// Starts log, host list and origin.
    pub async fn new() -> Self {
        Self::with_log_args(&[]).await
    }

    /// Starts log, host list and origin; `log_args` go to the log.
    pub async fn with_log_args(log_args: &[&str]) -> Self {
        // Each test process has a loopback address of its own, so ports never clash.
        let id = std::process::id();
        let ip = format!("127.{}.{}.1", 1 + (id >> 8) % 250, id % 256);
        let base_port = NEXT_PORT.fetch_add(PORTS, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("bergamotfork-{id}-{base_port}"));
        fs::create_dir_all(&folder).expect("a folder for settings");
        let mut cluster = Self {
            ip,
            base_port,
            next_port: base_port + 10,
            folder,
            processes: Vec::new(),
        };
        let log = cluster.address(0);
        let mut args = vec!["standin", "log", "--listen", &log];
        args.extend(log_args);
        cluster.run("log", &args);
        let hosts = cluster.address(1);
        cluster.run("hosts", &["standin", "hosts", "--listen", &hosts]);
        let origin = cluster.address(2);
        cluster.run("origin", &["standin", "origin", "--listen", &origin]);
        for number in 0..3 {
            cluster.listening(&cluster.address(number)).await;
        }
        cluster
    }

    fn address(&self, number: u16) -> String {
        format!("{}:{}", self.ip, self.base_port + number)
    }

    /// Base URL of the log.
    pub fn log_url(&self) -> String {
        format!("http://{}", self.address(0))
    }

    /// Base URL of the list of hosts.
    pub fn hosts_url(&self) -> String {
        format!("http://{}", self.address(1))
    }

    /// Base URL of the origin.
    pub fn origin_url(&self) -> String {
        format!("http://{}", self.address(2))
    }

    fn run(&mut self, name: &str, args: &[&str]) {
        self.processes.push((name.to_owned(), Process::start(args)));
    }

    /// The process of the host called `name`.
    pub fn process(&mut self, name: &str) -> &mut Process {
        let found = self.processes.iter_mut().find(|(known, _)| known == name);
        &mut found.expect("the process was started").1
    }

    async fn listening(&self, address: &str) {
        until(&format!("{address} listens"), 20, async || {
            std::net::TcpStream::connect(address).ok()
        })
        .await;
    }

    /// Starts an entry and returns its base URL; `settings` are further lines of `[entry]`.
    pub async fn entry(&mut self, name: &str, region: &str, settings: &str) -> String {
        let address = self.take_address();
        let body = format!(
            "[entry]\naddress_lifetime_ms = 500\ndrain_ms = 10000\n{settings}\n\
             [team platform]\ntoken_digest = {}\nsections = model *, branch *, service *\n",
            Digest::of_bytes(TOKEN.as_bytes())
        );
        self.role("entry", name, region, &address, &body, None)
            .await;
        format!("http://{address}")
    }

    /// Starts an endpoint beside an engine stand-in; returns the address of the endpoint.
    pub async fn engine(&mut self, name: &str, region: &str, engine_args: &[&str]) -> String {
        let address = self.take_address();
        let backend = self.backend_of(&address);
        let mut args = vec!["standin", "engine", "--listen", &backend];
        args.extend(engine_args);
        self.run(&format!("{name}-engine"), &args);
        self.listening(&backend).await;
        self.endpoint_at(name, region, &address, &backend, "").await;
        address
    }

    /// Starts an engine stand-in at `backend` without an endpoint.
    pub fn run_engine(&mut self, name: &str, backend: &str) {
        self.processes.retain(|(known, _)| known != name);
        self.run(name, &["standin", "engine", "--listen", backend]);
    }

    /// An address that nothing else of this cluster takes.
    pub fn spare_address(&mut self) -> String {
        self.take_address()
    }

    /// Starts an endpoint beside the engine at `backend`, with further lines of settings.
    pub async fn endpoint(&mut self, name: &str, region: &str, backend: &str, settings: &str) {
        let address = self.take_address();
        self.endpoint_at(name, region, &address, backend, settings)
            .await;
    }

    async fn endpoint_at(
        &mut self,
        name: &str,
        region: &str,
        address: &str,
        backend: &str,
        settings: &str,
    ) {
        let body = format!(
            "[backend]\nkind = engine\nurl = http://{backend}\nchecks_orders = yes\n{settings}"
        );
        self.role("endpoint", name, region, address, &body, None)
            .await;
    }

    /// Starts an endpoint beside a service stand-in; returns the address of the endpoint.
    pub async fn service(
        &mut self,
        name: &str,
        region: &str,
        service: &str,
        service_args: &[&str],
    ) -> String {
        let address = self.take_address();
        let backend = self.backend_of(&address);
        let mut args = vec!["standin", "service", "--listen", &backend];
        args.extend(service_args);
        self.run(&format!("{name}-service"), &args);
        self.listening(&backend).await;
        let body = format!("[backend]\nkind = service\nurl = http://{backend}\nname = {service}\n");
        self.role("endpoint", name, region, &address, &body, Some(service))
            .await;
        address
    }

    /// Address of the engine or service beside the endpoint at `address`.
    pub fn backend_of(&self, address: &str) -> String {
        let (ip, port) = address.rsplit_once(':').expect("an address has a port");
        let port: u16 = port.parse().expect("a port is a number");
        format!("{ip}:{}", port + BACKEND_PORT)
    }

    fn take_address(&mut self) -> String {
        self.next_port += 1;
        format!("{}:{}", self.ip, self.next_port)
    }

    async fn role(
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
             listen = {address}\nlog_level = warn\n\
             [platform]\nlog_url = {}\nhosts_url = {}\norigin_url = {}\n\
             [cluster]\nshared_key = {}\ngossip_ms = 200\nhosts_poll_ms = 200\n{body}",
            self.log_url(),
            self.hosts_url(),
            self.origin_url(),
            Self::SHARED_KEY,
        );
        let path = self.folder.join(format!("{name}.ini"));
        fs::write(&path, text).expect("the settings are written");
        self.start_again(role, name);
        let record = json!({
            "name": name, "address": address, "role": role, "region": region,
            "domain": format!("{region}-a"), "service": service, "state": "live",
        });
        let url = format!("{}/v1/hosts/{name}", self.hosts_url());
        let put: Result<Value, _> = HttpClient::to_platform()
            .send_json(Method::PUT, &url, &record, 5000)
            .await;
        put.expect("the host list takes a host");
        self.listening(address).await;
    }

    /// Starts the process of a host that had ended, with its old settings.
    pub fn start_again(&mut self, role: &str, name: &str) {
        let path = self.folder.join(format!("{name}.ini"));
        let path = path.to_str().expect("the path is text").to_owned();
        self.processes.retain(|(known, _)| known != name);
        self.run(name, &[role, "--settings", &path]);
    }

    /// Puts weights of `size_bytes` into the origin; returns their manifest's digest.
    pub async fn publish(&self, model: &str, version: &str, size_bytes: u64) -> String {
        let publication = json!({
            "model": model, "version": version, "size_bytes": size_bytes,
            "chunk_bytes": 65_536, "seed": 7, "base": null,
        });
        let url = format!("{}/v1/publish", self.origin_url());
        let answer: Value = HttpClient::to_platform()
            .send_json(Method::POST, &url, &publication, 10_000)
            .await
            .expect("the origin takes a version");
        answer["manifest"]
            .as_str()
            .expect("the answer names the manifest")
            .to_owned()
    }

    /// Appends an edit to the log as an operator's tool does.
    pub async fn edit(&self, section: &str, base_revision: u64, body: &str) -> u64 {
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
            .expect("the log takes an edit")
    }

    /// Orders faults from the stand-in at `base_url`.
    pub async fn fault(&self, base_url: &str, faults: &Value) {
        let url = format!("{base_url}/fault");
        let set: Result<Value, _> = HttpClient::to_platform()
            .send_json(Method::POST, &url, faults, 5000)
            .await;
        set.expect("the stand-in takes faults");
    }

    /// Sends a caller's request with the tests' token and reads the whole answer.
    pub async fn call(
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
