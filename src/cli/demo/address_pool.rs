use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process;

/// Port of every process; the processes differ in their addresses.
const PORT: u16 = 7100;

/// Number of /24 networks used for each second byte of the address.
const NETWORKS_PER_SECOND_BYTE: u32 = 250;

/// Number of /24 networks of 127.0.0.0/8 that demonstrations choose from.
const NETWORKS: u32 = 64 * NETWORKS_PER_SECOND_BYTE;

/// First two bytes of the first network: 127.128.0.0/16.
const FIRST_NETWORK: u32 = 127 << 8 | 128;

/// Assigns each process of a demonstration its own loopback address.
#[derive(Debug)]
pub struct AddressPool {
    network: [u8; 3],
    assigned: u8,
}

impl AddressPool {
    /// Creates a pool in a /24 network that is chosen by process id, so that
    /// demonstrations that run at the same time rarely share a network.
    pub fn new() -> Self {
        let number = process::id() % NETWORKS;
        let second = (FIRST_NETWORK + number / NETWORKS_PER_SECOND_BYTE) & 0xff;
        let third = number % NETWORKS_PER_SECOND_BYTE + 1;
        Self {
            network: [127, second as u8, third as u8],
            assigned: 0,
        }
    }

    /// Returns the next unused address.
    pub fn next_address(&mut self) -> SocketAddr {
        self.assigned += 1;
        let [first, second, third] = self.network;
        let address = Ipv4Addr::new(first, second, third, self.assigned);
        SocketAddr::from((address, PORT))
    }
}
