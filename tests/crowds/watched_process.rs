use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

/// State of a listening socket in the kernel's table of TCP sockets.
const LISTENING: &str = "0A";

/// A process whose memory and descriptors are checked against the limits of its settings.
#[derive(Debug, Clone, Copy)]
pub struct WatchedProcess {
    pub process_id: u32,
    /// Address that it listens on.
    pub ip: IpAddr,
    /// Port, if other processes listen on the address as well.
    pub port: Option<u16>,
    pub memory_mb: u64,
    pub max_descriptors: usize,
}

impl WatchedProcess {
    /// Panics when the process has ended or has taken more than its settings allow.
    pub fn check(&self) {
        let resident_bytes = resident_bytes(self.process_id);
        let unread_bytes = self.unread_bytes();
        let limit_bytes = self.memory_mb << 20;
        assert!(
            resident_bytes + unread_bytes <= limit_bytes,
            "{resident_bytes} bytes resident and {unread_bytes} unread, {limit_bytes} allowed"
        );
        let descriptors = self.descriptors().count();
        let limit = self.max_descriptors;
        assert!(
            descriptors <= limit,
            "{descriptors} descriptors, {limit} allowed"
        );
    }

    /// Bytes that its sockets have received and that it has not read, also of connections that
    /// it has not accepted.
    pub fn unread_bytes(&self) -> u64 {
        let mut sockets: Vec<String> = self
            .descriptors()
            .filter_map(|target| {
                Some(
                    target
                        .strip_prefix("socket:[")?
                        .trim_end_matches(']')
                        .into(),
                )
            })
            .collect();
        sockets.sort_unstable();
        let table = fs::read_to_string("/proc/net/tcp").expect("a table of sockets");
        table
            .lines()
            .skip(1)
            .filter_map(|line| {
                let fields: Vec<&str> = line.split_ascii_whitespace().collect();
                let local = local_address(fields[1])?;
                let is_own = (local.ip() == self.ip
                    && self.port.is_none_or(|port| port == local.port()))
                    || sockets
                        .binary_search_by(|socket| socket.as_str().cmp(fields[9]))
                        .is_ok();
                let unread = fields[4].split_once(':')?.1;
                // The queue of a listening socket counts connections.
                (is_own && fields[3] != LISTENING)
                    .then(|| u64::from_str_radix(unread, 16).expect("a hexadecimal number"))
            })
            .sum()
    }

    /// What its open descriptors refer to.
    fn descriptors(&self) -> impl Iterator<Item = String> {
        let folder = format!("/proc/{}/fd", self.process_id);
        let open = fs::read_dir(folder).expect("the process runs");
        // A descriptor may be closed meanwhile.
        open.flatten().map(|descriptor| {
            let target = fs::read_link(descriptor.path()).unwrap_or_default();
            target.to_string_lossy().into_owned()
        })
    }
}

/// Resident memory of a process; panics when it has ended.
pub fn resident_bytes(process_id: u32) -> u64 {
    let path = format!("/proc/{process_id}/status");
    let status = fs::read_to_string(path).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let kilobytes = kilobytes.expect("a process that has not ended");
    kilobytes.parse::<u64>().expect("a number") << 10
}

/// Address in a column of the kernel's table of IPv4 sockets.
fn local_address(column: &str) -> Option<SocketAddr> {
    let (ip, port) = column.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some((Ipv4Addr::from(ip.to_ne_bytes()), port).into())
}
