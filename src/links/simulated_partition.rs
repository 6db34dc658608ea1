use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

/// Simulated network partition: addresses that this process can't reach for a while.
///
/// The benchmark of the control plane cuts regions off with it.
#[derive(Debug, Default)]
pub struct SimulatedPartition {
    state: Mutex<Option<BlockedAddresses>>,
}

/// Sorted addresses and the end of the partition.
#[derive(Debug)]
struct BlockedAddresses {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

impl SimulatedPartition {
    /// Blocks `addresses` for `duration`, and unblocks those blocked before.
    pub fn start(&self, mut addresses: Vec<SocketAddr>, duration: Duration) {
        addresses.sort_unstable();
        let until = Instant::now() + duration;
        *self.lock() = Some(BlockedAddresses { addresses, until });
    }

    /// Whether the address in `url` is blocked now.
    pub fn blocks_url(&self, url: &str) -> bool {
        let address = url
            .strip_prefix("http://")
            .and_then(|rest| rest.split('/').next())
            .and_then(|address| address.parse().ok());
        address.is_some_and(|address| self.blocks_address(address))
    }

    /// Whether `address` is blocked now.
    pub fn blocks_address(&self, address: SocketAddr) -> bool {
        let state = self.lock();
        let active = state
            .as_ref()
            .filter(|blocked| Instant::now() < blocked.until);
        active.is_some_and(|blocked| blocked.addresses.binary_search(&address).is_ok())
    }

    fn lock(&self) -> MutexGuard<'_, Option<BlockedAddresses>> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}
