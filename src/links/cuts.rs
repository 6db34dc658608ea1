use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

/// Addresses that this process does not reach for a while: a drill for a
/// region that is cut off.
#[derive(Debug, Default)]
pub struct Cuts {
    state: Mutex<Option<Cut>>,
}

#[derive(Debug)]
struct Cut {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

impl Cuts {
    /// Cuts `addresses` off for `time`, in place of those cut off before.
    pub fn cut(&self, mut addresses: Vec<SocketAddr>, time: Duration) {
        addresses.sort_unstable();
        let until = Instant::now() + time;
        *self.state() = Some(Cut { addresses, until });
    }

    /// Whether the address in `url` is cut off now.
    pub fn covers(&self, url: &str) -> bool {
        let address = url
            .strip_prefix("http://")
            .and_then(|rest| rest.split('/').next())
            .and_then(|address| address.parse().ok());
        address.is_some_and(|address| self.covers_address(address))
    }

    /// Whether `address` is cut off now.
    pub fn covers_address(&self, address: SocketAddr) -> bool {
        let state = self.state();
        let cut = state.as_ref().filter(|cut| Instant::now() < cut.until);
        cut.is_some_and(|cut| cut.addresses.binary_search(&address).is_ok())
    }

    fn state(&self) -> MutexGuard<'_, Option<Cut>> {
        self.state.lock().expect("no holder of the cuts panics")
    }
}
