use std::future::Future;
use std::io;
use std::time::Duration;

use bytes::BytesMut;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::http1::Connection;
use crate::http1::connection::RECEIVED;

/// Bytes kept of pipelined requests while a request is handled.
pub(super) const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// Interval at which what a peer sends beyond these bytes is discarded. TCP slows the peer down
/// in between.
const DISCARD_INTERVAL: Duration = Duration::from_millis(100);

impl Connection {
    /// Waits until the peer closes the connection or it fails.
    ///
    /// Pipelined requests that arrive meanwhile are kept in `read_buffer`. Of a peer that sends
    /// more than is kept they are discarded, and its connection is not to be used for another
    /// request, so that the end of the connection is noticed however much it has sent.
    pub async fn wait_closed(&mut self) {
        while self.discard_at.is_none() {
            if self.read_buffer.len() >= MAX_READ_AHEAD_BYTES {
                self.read_buffer = BytesMut::new();
                self.discard_at = Some(Instant::now());
            } else if matches!(self.fill_buffer().await, Ok(0) | Err(_)) {
                return;
            }
        }
        loop {
            tokio::time::sleep_until(self.discard_at.unwrap_or_else(Instant::now)).await;
            if matches!(self.discard().await, Ok(0) | Err(_)) {
                return;
            }
            self.discard_at = Some(Instant::now() + DISCARD_INTERVAL);
        }
    }

    /// Whether requests that the peer sent ahead were discarded.
    pub fn has_discarded(&self) -> bool {
        self.discard_at.is_some()
    }

    /// Waits for bytes, discards some, and returns their number; 0 when the peer has closed the
    /// connection.
    async fn discard(&mut self) -> io::Result<usize> {
        loop {
            let read = RECEIVED.with_borrow_mut(|received| self.try_read(received));
            match read {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.stream.readable().await?;
                }
                result => return result,
            }
        }
    }

    /// Ends the sending side, and discards what still arrives until the peer closes the
    /// connection or `until` has passed. Closed with bytes unread, the connection would be
    /// reset, and the peer might lose the answer that was written last.
    pub async fn linger(&mut self, until: Instant) {
        let socket = socket2::SockRef::from(&self.stream);
        if let Err(error) = socket.shutdown(std::net::Shutdown::Write) {
            log::debug!("cannot end the sending side of a connection: {error}");
            return;
        }
        self.read_buffer = BytesMut::new();
        while Instant::now() < until {
            match timeout_at(until, self.discard()).await {
                Ok(Ok(0) | Err(_)) | Err(_) => return,
                Ok(Ok(_)) => tokio::task::yield_now().await,
            }
        }
    }

    /// Runs `work`; drops it and returns `None` when the peer closes the connection first.
    pub async fn run_unless_closed<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            done = work => Some(done),
            () = self.wait_closed() => None,
        }
    }
}
