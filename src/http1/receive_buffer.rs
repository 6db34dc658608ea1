//! Bounds what waits in the sockets of a process before it is read.
//!
//! Load: peers that send more than is read, on connections that are being handled, that are
//! refused, or that are not accepted yet. Without a bound the system grows the buffer of each
//! socket to many megabytes.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpSocket;

/// Default size of the receive buffer of a connection, in bytes.
pub const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;

/// Size of the receive buffer of a connection to an internal port, in bytes.
pub const INTERNAL_RECEIVE_BUFFER_BYTES: u32 = 8 * 1024;

/// Largest number of connections of one listener that wait to be accepted.
pub(super) const MAX_BACKLOG: usize = 1_024;

/// Connections of a listener that may wait to be accepted, of those that it serves at once.
pub(super) fn backlog_of(max_connections: usize) -> usize {
    max_connections.min(MAX_BACKLOG)
}

/// Bytes that a receive buffer of this size holds at most: the system allows for as many again,
/// for what it keeps beside the bytes.
pub(super) fn most_unread_bytes(receive_buffer_bytes: u32) -> usize {
    2 * receive_buffer_bytes as usize
}

/// Socket for `address`. Its receive buffer is set before it is connected, as a window that a
/// peer was told is not taken back.
pub(super) fn new_socket(address: SocketAddr, receive_buffer_bytes: u32) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Err(error) = socket.set_recv_buffer_size(receive_buffer_bytes) {
        log::warn!("cannot set SO_RCVBUF, the system's default applies: {error}");
    }
    Ok(socket)
}
