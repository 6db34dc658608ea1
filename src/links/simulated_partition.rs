use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

/// Addresses that this process does not reach for a while: a drill for a
/// region that is cut off.
#[derive(Debug, Default)]
pub struct SimulatedPartition {
    state: Mutex<Option<BlockedAddresses>>,
}

#[derive(Debug)]
struct BlockedAddresses {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

impl SimulatedPartition {
    /// SimulatedPartition `addresses` off for `time`, in place of those cut off before.
    pub fn start(&self, mut addresses: Vec<SocketAddr>, duration: Duration) {
        addresses.sort_unstable();
        let until = Instant::now() + duration;
        *self.state() = Some(BlockedAddresses { addresses, until });
    }

    /// Whether the address in `url` is cut off now.
    pub fn blocks_url(&self, url: &str) -> bool {
        let address = url
            .strip_prefix("http://")
            .and_then(|rest| rest.split('/').next())
            .and_then(|address| address.parse().ok());
        address.is_some_and(|address| self.blocks_address(address))
    }

    /// Whether `address` is cut off now.
    pub fn blocks_address(&self, address: SocketAddr) -> bool {
        let state = self.state();
        let blocked = state
            .as_ref()
            .filter(|blocked| Instant::now() < blocked.until);
        blocked.is_some_and(|blocked| blocked.addresses.binary_search(&address).is_ok())
    }

    fn state(&self) -> MutexGuard<'_, Option<BlockedAddresses>> {
        self.state.lock().expect("no holder of the cuts panics")
    }
}
