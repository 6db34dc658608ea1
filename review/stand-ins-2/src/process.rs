//! The project's own programs, started as the deploy file says, and the record of a run.

use std::fs::File;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::UNIX_EPOCH;

use crate::http::Connection;

/// Record of a run: what was sent, answered and run.
#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(folder.join("record.txt"))?),
            began: Instant::now(),
        })
    }

    /// Writes a line with the time since the start of the run.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("no holder panics");
        let seconds = self.began.elapsed().as_secs_f64();
        let _ = writeln!(file, "{seconds:8.3} {}", text.as_ref());
    }
}

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that run, as the run ends early.
pub fn kill_all() {
    let running = RUNNING.lock().expect("no holder panics");
    for pid in running.iter() {
        let _ = Command::new("kill")
            .args(["-s", "KILL", &pid.to_string()])
            .status();
    }
}

/// A process that is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    pub child: Child,
}

impl Process {
    pub fn new(child: Child) -> Self {
        RUNNING.lock().expect("no holder panics").push(child.id());
        Self { child }
    }

    /// Ends the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id();
        RUNNING
            .lock()
            .expect("no holder panics")
            .retain(|other| *other != pid);
    }

    /// Sends the process a signal by its name, such as `HUP`.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        let pid = self.child.id().to_string();
        Command::new("kill").args(["-s", name, &pid]).status()?;
        Ok(())
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Resident memory, in bytes; None once it has ended.
    pub fn resident_bytes(&self) -> Option<u64> {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
        Some(kilobytes * 1024)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A folder for settings and logs, which is removed when it is dropped.
#[derive(Debug)]
pub struct Scratch {
    pub path: PathBuf,
}

impl Scratch {
    pub fn create(name: &str) -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self { path })
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

/// A loopback address that is likely to be unused: the metrics have a fixed port, so each
/// machine has an address of its own.
pub fn machine_ip(number: u8) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 128 + high % 100, low, number))
}

/// A free port of `ip`.
pub fn free_address(ip: IpAddr) -> std::io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// Addresses of an entry.
#[derive(Debug, Clone, Copy)]
pub struct EntryAddresses {
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

/// Settings that both roles have, with the bounds of the small deployment.
fn common_settings(name: &str, ip: IpAddr, store: SocketAddr) -> String {
    format!(
        "node={name}\nip={ip}\nzone=longbeach\nregion=wa-coast\nzones.longbeach=wa-coast\n\
         internal_ports=7700,7715\nlimits.cores=1\nheartbeat_ms=1200\n\
         bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.config_apply_ms=2000\n\
         bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.extra_retries=100\n\
         bounds.version_ms=8000\nbounds.ttl_max_s=5\nplatform.address={store}\n"
    )
}

/// Starts an entry with the memory and descriptors of a `front` machine, and waits until it is
/// ready.
pub fn start_entry(
    scratch: &Scratch,
    store: SocketAddr,
) -> std::io::Result<Option<(Process, EntryAddresses)>> {
    start_numbered_entry(scratch, store, 1)
}

/// The same on the machine `number`.
pub fn start_numbered_entry(
    scratch: &Scratch,
    store: SocketAddr,
    number: u8,
) -> std::io::Result<Option<(Process, EntryAddresses)>> {
    let ip = machine_ip(number);
    let addresses = EntryAddresses {
        front: free_address(ip)?,
        ready: free_address(ip)?,
    };
    let directory = free_address(ip)?;
    let name = format!("front-longbeach-{number}");
    let text = common_settings(&name, ip, store)
        + &format!(
            "role=entry\nlimits.memory_mb=260\nlimits.max_fds=4200\nlimits.link_mbps=1000.0\n\
             listen.front={}\nlisten.ready={}\nlisten.directory={directory}\n",
            addresses.front, addresses.ready
        );
    // The settings of the first entry keep the name that cases change them by.
    let file = if number == 1 { "entry" } else { &name };
    let process = start(scratch, "entry", file, &text)?;
    Ok(wait_until_ready(addresses).then_some((process, addresses)))
}

/// Starts the entry of the machine `number` again, with the settings that it had.
pub fn restart_entry(
    scratch: &Scratch,
    number: u8,
    addresses: EntryAddresses,
) -> std::io::Result<Option<Process>> {
    let file = match number {
        1 => "entry".to_owned(),
        _ => format!("front-longbeach-{number}"),
    };
    let process = launch(scratch, "entry", &file)?;
    Ok(wait_until_ready(addresses).then_some(process))
}

/// Waits until an entry is ready; returns whether it is.
fn wait_until_ready(addresses: EntryAddresses) -> bool {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if readiness(addresses.ready) == 200 {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Starts an endpoint process beside the replica at `app`.
pub fn start_endpoint(
    scratch: &Scratch,
    store: SocketAddr,
    app: SocketAddr,
    service: &str,
) -> std::io::Result<Process> {
    let name = format!("side-longbeach-{}", app.ip());
    let text = common_settings(&name, app.ip(), store)
        + &format!(
            "role=endpoint\nlimits.memory_mb=128\nlimits.max_fds=2048\nlimits.link_mbps=9.4\n\
             app={app}\nservice={service}\n"
        );
    start(scratch, "endpoint", &name, &text)
}

/// Status of the readiness check; 0 without an answer.
pub fn readiness(address: SocketAddr) -> u16 {
    let Some(mut connection) = Connection::open(address) else {
        return 0;
    };
    let request = b"GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n";
    let _ = connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(1)));
    if connection.stream.write_all(request).is_err() {
        return 0;
    }
    connection.read_head().map_or(0, |head| head.status())
}

/// Starts the role `role` with these settings; they and its log go to the scratch folder.
fn start(scratch: &Scratch, role: &str, name: &str, settings: &str) -> std::io::Result<Process> {
    let path = scratch.path.join(format!("{name}.conf"));
    std::fs::write(&path, settings)?;
    launch(scratch, role, name)
}

/// Starts the role `role` with the settings that were written under `name`.
fn launch(scratch: &Scratch, role: &str, name: &str) -> std::io::Result<Process> {
    let path = scratch.path.join(format!("{name}.conf"));
    let log = File::create(scratch.path.join(format!("{name}.log")))?;
    let child = Command::new("target/release/bergamotfork-platform")
        .arg(role)
        .env("BERGAMOTFORK_CONFIG", &path)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    Ok(Process::new(child))
}

/// Configuration with these routes, services and the limits of the small deployment.
pub fn config(version: u64, routes: &str, services: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Present time, in Unix ms.
pub fn unix_ms() -> u128 {
    UNIX_EPOCH.elapsed().map_or(0, |time| time.as_millis())
}

/// Record of a replica that started at `born`, in Unix ms.
pub fn replica_record(
    service: &str,
    address: SocketAddr,
    state: &str,
    born: u128,
    sequence: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"longbeach\",\
         \"version\":\"v1\",\"slots\":16,\"state\":\"{state}\",\"cold_remaining_ms\":0,\
         \"models\":[],\"sequence\":{sequence},\"born\":{born}}}"
    )
}
