//! Processes of the project, started with the commands of the deploy file.

use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use crate::http::get;

/// Ports of a process beside those for internal traffic; each has an address of its own.
pub const FRONT_PORT: u16 = 8005;
const READY_PORT: u16 = 8002;
const DIRECTORY_PORT: u16 = 8009;
const INTERNAL_PORT: u16 = 7700;
const METRICS_PORT: u16 = 9464;

/// Loopback address number `host_no` of this script, on which the ports are free.
pub fn free_address(host_no: u8) -> IpAddr {
    let id = std::process::id();
    (0..=255u8)
        .map(|turn| {
            let second = 64 + (id >> 8) as u8 % 64;
            IpAddr::V4(Ipv4Addr::new(
                127,
                second,
                (id as u8).wrapping_add(turn),
                host_no,
            ))
        })
        .find(|ip| {
            let ports = [
                FRONT_PORT,
                READY_PORT,
                DIRECTORY_PORT,
                INTERNAL_PORT,
                METRICS_PORT,
            ];
            ports
                .iter()
                .all(|port| TcpListener::bind((*ip, *port)).is_ok())
        })
        .expect("a loopback address has free ports")
}

/// Settings that the processes of a small deployment have in common.
pub fn common_settings(name: &str, ip: IpAddr, store: SocketAddr) -> String {
    format!(
        "node={name}\nip={ip}\nzone=longbeach\nregion=wa-coast\nzones.longbeach=wa-coast\n\
         internal_ports={INTERNAL_PORT},7715\nbootstrap=true\ncounts_toward_loss=false\n\
         limits.cores=1\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\nlimits.max_fds=4200\n\
         discovery=platform\nentry=directory\nheartbeat_ms=1200\n\
         contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,chunks\n\
         bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stable_window_ms=3000\n\
         bounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
         bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\n\
         bounds.max_stretch_ms=5000\nbounds.strict_revoke=false\nbounds.revoke_ms=5000\n\
         bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.extra_retries=100\n\
         bounds.recovery_s=12\nbounds.pass_ms=120\nbounds.retry_after_s=0\n\
         bounds.version_ms=8000\nbounds.version_all_ms=0\nbounds.ttl_max_s=5\n\
         platform.address={store}\nplatform.form=log\nplatform.writes_per_s=400\n\
         platform.reads_per_s=2000\nplatform.parts=8\nplatform.append_ms=4.0\n\
         platform.record_bytes=262144\nplatform.call_bytes=2097152\nplatform.keep_s=300\n"
    )
}

/// A process of the project; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    pub ip: IpAddr,
    role: &'static str,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Child,
}

impl Process {
    /// Starts an entry with these settings beside the common ones, in this folder.
    pub fn start_entry(
        folder: &std::path::Path,
        host_no: u8,
        store: SocketAddr,
        further: &str,
    ) -> Self {
        let ip = free_address(host_no);
        let name = format!("front-longbeach-{host_no}");
        let settings = common_settings(&name, ip, store)
            + &format!(
                "machine_class=front\nserves=front,directory\nlisten.front={ip}:{FRONT_PORT}\n\
                 listen.ready={ip}:{READY_PORT}\nlisten.directory={ip}:{DIRECTORY_PORT}\n\
                 limits.memory_mb=260\n{further}"
            );
        Self::start("entry", folder, &name, ip, &settings)
    }

    fn start(
        role: &'static str,
        folder: &std::path::Path,
        name: &str,
        ip: IpAddr,
        settings: &str,
    ) -> Self {
        let settings_path = folder.join(format!("{name}.conf"));
        let log_path = folder.join(format!("{name}.log"));
        std::fs::write(&settings_path, settings).expect("the settings are written");
        let child = spawn(role, &settings_path, &log_path);
        Self {
            ip,
            role,
            settings_path,
            log_path,
            child,
        }
    }

    /// Address for requests of clients.
    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT_PORT).into()
    }

    /// Whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        let address = (self.ip, READY_PORT).into();
        get(address, "/readiness").is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until it is ready; false after 20 s.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.is_ready() {
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Resident memory, in bytes; 0 once it has ended.
    pub fn resident_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let mut lines = status.lines();
        let line = lines.find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    /// Sends it a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "the signal is sent"
        );
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|end| end.is_none())
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts it again with its settings.
    pub fn restart(&mut self) {
        self.child = spawn(self.role, &self.settings_path, &self.log_path);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs the command of a role in the deploy file.
fn spawn(role: &str, settings_path: &PathBuf, log_path: &PathBuf) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(log_path)
        .expect("the log is opened");
    Command::new("target/release/bergamotfork-platform")
        .arg(role)
        .env_clear()
        .env("PATH", "/usr/bin:/bin")
        .env("BERGAMOTFORK_CONFIG", settings_path)
        .stderr(log.try_clone().expect("the log is shared"))
        .stdout(log)
        .spawn()
        .expect("the process starts")
}
