use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::http1::receive_buffer::MAX_BACKLOG;
use crate::http1::receive_buffer::backlog_of;
use crate::http1::receive_buffer::most_unread_bytes;
use crate::http1::receive_buffer::new_socket;

/// Memory of a connection whose peer is silent: its task and what is kept of its socket.
pub const CONNECTION_BYTES: usize = 12 * 1024;

/// What a listener takes of the memory of its process at most, without the messages.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLoad {
    /// Largest number of connections that are served at once.
    pub max_connections: usize,
    /// Size of the receive buffer of each connection, in bytes.
    pub receive_buffer_bytes: u32,
}

impl ListenerLoad {
    /// Listens on `address` within the load.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn listen(&self, address: SocketAddr) -> io::Result<TcpListener> {
        let socket = new_socket(address, self.receive_buffer_bytes)?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let backlog = backlog_of(self.max_connections).max(1);
        socket.listen(u32::try_from(backlog).unwrap_or(u32::MAX))
    }

    /// Bytes that its connections take, those that wait to be accepted as well.
    pub fn most_bytes(&self) -> usize {
        let unread_bytes = most_unread_bytes(self.receive_buffer_bytes);
        let open_bytes = self
            .max_connections
            .saturating_mul(CONNECTION_BYTES + unread_bytes);
        open_bytes.saturating_add(backlog_of(self.max_connections) * unread_bytes)
    }

    /// Largest number of connections with receive buffers of this size that take at most
    /// `max_bytes`, with those that wait to be accepted.
    pub(super) fn connections_within(max_bytes: usize, receive_buffer_bytes: u32) -> usize {
        let unread_bytes = most_unread_bytes(receive_buffer_bytes);
        let open_bytes = CONNECTION_BYTES + unread_bytes;
        let few = max_bytes / (open_bytes + unread_bytes);
        let many = max_bytes.saturating_sub(MAX_BACKLOG * unread_bytes) / open_bytes;
        few.min(MAX_BACKLOG).max(many)
    }
}
