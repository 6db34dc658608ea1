use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process;

/// Port of every process; each has an address of its own.
const PORT: u16 = 7100;

/// Addresses in one network of 127.0.0.0/8 hold at most this many hosts.
const HOSTS_PER_NETWORK: u32 = 250;

/// Networks that demonstrations share out among themselves.
const NETWORKS: u32 = 64 * HOSTS_PER_NETWORK;

/// First of these networks.
const FIRST_NETWORK: u32 = 127 << 8 | 128;

/// Gives each process of one demonstration a loopback address of its own.
#[derive(Debug)]
pub struct Places {
    network: [u8; 3],
    given: u8,
}

impl Places {
    /// Addresses that no other demonstration on this machine uses.
    pub fn new() -> Self {
        let number = process::id() % NETWORKS;
        let second = (FIRST_NETWORK + number / HOSTS_PER_NETWORK) & 0xff;
        let third = number % HOSTS_PER_NETWORK + 1;
        Self {
            network: [127, second as u8, third as u8],
            given: 0,
        }
    }

    /// The next free address.
    pub fn next(&mut self) -> SocketAddr {
        self.given += 1;
        let [first, second, third] = self.network;
        let address = Ipv4Addr::new(first, second, third, self.given);
        SocketAddr::from((address, PORT))
    }
}
