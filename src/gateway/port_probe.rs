use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::calls::PortSign;
use crate::http1::Connection;
use crate::http1::Http1Error;

/// Time for which a connection is watched: a process that is ending may close its listener after
/// its connections.
const WATCH_TIME: Duration = Duration::from_millis(20);

/// Longest time for which the end of an answer waits for a probe: less than the shortest pass of
/// an engine, 120 ms, for which clients wait between events anyway.
const MAX_END_WAIT: Duration = Duration::from_millis(100);

/// Whether a connection attempt failed because no process listens on the address.
pub fn is_refused(error: &Http1Error) -> bool {
    match error {
        Http1Error::NotConnected(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Checks by a connection, which may take `connect_time` to open, whether a process listens at
/// `address`.
pub async fn probe_port(address: SocketAddr, connect_time: Duration) -> PortSign {
    let mut connected = Connection::connect(address, connect_time).await;
    if let Ok(connection) = &mut connected {
        let closed = tokio::time::timeout(WATCH_TIME, connection.fill_buffer()).await;
        if matches!(closed, Ok(Ok(0) | Err(_))) {
            connected = Connection::connect(address, connect_time).await;
        }
    }
    match connected {
        Ok(_) => PortSign::Open,
        Err(error) if is_refused(&error) => PortSign::Refused,
        Err(_) => PortSign::Unknown,
    }
}

/// Checks the port of a replica that has closed the connection of an answer which is due at
/// `deadline`, in a part of the time that its client has.
pub async fn probe_at_close(address: SocketAddr, deadline: Instant) -> PortSign {
    let left = deadline.saturating_duration_since(Instant::now());
    let time = MAX_END_WAIT.min(left / 4);
    tokio::time::timeout(time, probe_port(address, time))
        .await
        .unwrap_or(PortSign::Unknown)
}
