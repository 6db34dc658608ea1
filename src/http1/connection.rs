use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::http1::BodyDecoder;
use crate::http1::BodyLimit;
use crate::http1::Http1Error;
use crate::http1::ResponseHead;
use crate::http1::head_search::HeadSearch;
use crate::http1::receive_buffer::new_socket;
use crate::http1::receive_room::ReceiveRoom;

/// Most bytes of one read.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Content of a body from which a larger receive buffer is used.
const MIN_WIDE_BODY_BYTES: usize = 64 * 1024;

/// Reads that find bytes at once before other tasks get their turn: a peer that sends
/// without a pause would otherwise stall the process, and no timer would fire.
const MAX_READS_IN_A_ROW: u32 = 4;

/// Lateness of a timer from which the process may have stood still: its timers then come before
/// what has arrived meanwhile.
pub const LATE_TIMER: Duration = Duration::from_millis(20);

thread_local! {
    /// What a read receives; a connection holds only what has arrived on it.
    pub(super) static RECEIVED: RefCell<[u8; READ_CHUNK_BYTES]> =
        const { RefCell::new([0; READ_CHUNK_BYTES]) };
}

/// TCP connection with a buffer of the bytes that were read but not yet parsed.
#[derive(Debug)]
pub struct Connection {
    pub(super) stream: TcpStream,
    /// Bytes that were read but not yet parsed.
    pub read_buffer: BytesMut,
    reads_in_a_row: u32,
    /// Room for a larger receive buffer.
    receive_room: Option<ReceiveRoom>,
    /// Next time at which bytes are discarded, once the peer has sent more ahead than is kept.
    pub(super) discard_at: Option<Instant>,
}

impl Connection {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY on a connection: {error}");
        }
        Self {
            stream,
            read_buffer: BytesMut::new(),
            reads_in_a_row: 0,
            receive_room: None,
            discard_at: None,
        }
    }

    /// Address of the peer, unless the connection has failed.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.stream.peer_addr().ok()
    }

    /// Opens a connection to `address` within `timeout`.
    ///
    /// # Errors
    ///
    /// [`Http1Error::NotConnected`], also when the time has passed.
    pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Self, Http1Error> {
        Self::wait_connected(TcpStream::connect(address), timeout).await
    }

    /// Does the same with a receive buffer of this size.
    ///
    /// # Errors
    ///
    /// [`Http1Error::NotConnected`], also when the time has passed.
    pub async fn connect_with_buffer(
        address: SocketAddr,
        timeout: Duration,
        receive_buffer_bytes: u32,
    ) -> Result<Self, Http1Error> {
        let socket = new_socket(address, receive_buffer_bytes).map_err(Http1Error::NotConnected)?;
        Self::wait_connected(socket.connect(address), timeout).await
    }

    async fn wait_connected(
        connected: impl Future<Output = io::Result<TcpStream>>,
        timeout: Duration,
    ) -> Result<Self, Http1Error> {
        match tokio::time::timeout(timeout, connected).await {
            Ok(Ok(stream)) => Ok(Self::new(stream)),
            Ok(Err(error)) => Err(Http1Error::NotConnected(error)),
            Err(_) => Err(Http1Error::NotConnected(io::ErrorKind::TimedOut.into())),
        }
    }

    /// Waits for bytes, appends them to `read_buffer` and returns their number; 0 when
    /// the peer has closed the connection.
    pub async fn fill_buffer(&mut self) -> io::Result<usize> {
        if self.reads_in_a_row >= MAX_READS_IN_A_ROW {
            self.reads_in_a_row = 0;
            tokio::task::yield_now().await;
        }
        loop {
            match self.read_available() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.reads_in_a_row = 0;
                    // A connection that waits holds no empty buffer.
                    if self.read_buffer.is_empty() {
                        self.read_buffer = BytesMut::new();
                    }
                    self.stream.readable().await?;
                }
                result => {
                    self.reads_in_a_row += 1;
                    return result;
                }
            }
        }
    }

    /// Appends bytes that have arrived to `read_buffer`; fails with `WouldBlock` when there are
    /// none.
    fn read_available(&mut self) -> io::Result<usize> {
        RECEIVED.with_borrow_mut(|received| {
            let count = self.try_read(received)?;
            self.read_buffer.extend_from_slice(&received[..count]);
            Ok(count)
        })
    }

    /// Reads bytes that have arrived. Room for a larger receive buffer that is no longer used is
    /// returned once the buffer is empty.
    pub(super) fn try_read(&mut self, received: &mut [u8]) -> io::Result<usize> {
        let read = self.stream.try_read(received);
        let is_empty = matches!(&read, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        if is_empty
            && self
                .receive_room
                .as_ref()
                .is_some_and(|room| !room.is_used())
        {
            self.receive_room = None;
        }
        read
    }

    /// Does the same as `fill_buffer`, and fails after `deadline`.
    pub async fn fill_buffer_with_deadline(
        &mut self,
        deadline: Instant,
    ) -> Result<usize, Http1Error> {
        if let Ok(result) = timeout_at(deadline, self.fill_buffer()).await {
            return result.map_err(Http1Error::Io);
        }
        if deadline.elapsed() < LATE_TIMER {
            return Err(Http1Error::TimedOut);
        }
        tokio::task::yield_now().await;
        match self.try_fill_buffer()? {
            0 => Err(Http1Error::TimedOut),
            received => Ok(received),
        }
    }

    /// Reads the head of a response of at most `max_bytes`; `deadline` is evaluated before
    /// each read. Interim responses (1xx) are skipped and count towards `max_bytes`.
    ///
    /// # Errors
    ///
    /// [`Http1Error`] when the head is too large, malformed, incomplete or late.
    pub async fn read_response_head(
        &mut self,
        max_bytes: usize,
        deadline: impl Fn() -> Instant,
    ) -> Result<ResponseHead, Http1Error> {
        let mut left_bytes = max_bytes;
        let mut search = HeadSearch::default();
        loop {
            let buffered_bytes = self.read_buffer.len();
            if search.is_due(&self.read_buffer, left_bytes) {
                match ResponseHead::parse_from(&mut self.read_buffer, left_bytes)? {
                    Some(head) if head.is_interim() => {
                        left_bytes -= buffered_bytes - self.read_buffer.len();
                        search = HeadSearch::default();
                        continue;
                    }
                    Some(head) => return Ok(head),
                    None => {}
                }
            }
            if self.fill_buffer_with_deadline(deadline()).await? == 0 {
                return Err(Http1Error::IncompleteMessage);
            }
        }
    }

    /// Reads a body within `limit`; `deadline` is evaluated before each read.
    ///
    /// # Errors
    ///
    /// [`Http1Error`] when the body is too large, malformed, incomplete or late.
    pub async fn read_body(
        &mut self,
        decoder: BodyDecoder,
        mut limit: impl BodyLimit,
        deadline: impl Fn() -> Instant,
    ) -> Result<Vec<u8>, Http1Error> {
        let body = Vec::with_capacity(limit.announced_bytes());
        if limit.announced_bytes() >= MIN_WIDE_BODY_BYTES {
            self.widen(&limit);
        }
        let read = self.read_rest(decoder, body, &mut limit, deadline).await;
        self.narrow();
        read
    }

    /// Reads the rest of a body.
    async fn read_rest(
        &mut self,
        mut decoder: BodyDecoder,
        mut body: Vec<u8>,
        limit: &mut impl BodyLimit,
        deadline: impl Fn() -> Instant,
    ) -> Result<Vec<u8>, Http1Error> {
        loop {
            let received_bytes = self.read_buffer.len();
            if body.capacity() - body.len() < received_bytes {
                // Doubling would hold up to twice the content.
                body.reserve_exact(received_bytes.max(body.len() / 4));
            }
            let body_bytes = body.len();
            decoder.decode(&mut self.read_buffer, &mut body)?;
            limit.admit(body.len())?;
            if body_bytes < MIN_WIDE_BODY_BYTES && body.len() >= MIN_WIDE_BODY_BYTES {
                self.widen(limit);
            }
            // Small chunks take more time than content of the same size: others get their turn.
            if body.len() - body_bytes < received_bytes / 2 {
                tokio::task::yield_now().await;
            }
            if decoder.is_done() {
                return Ok(body);
            }
            if self.fill_buffer_with_deadline(deadline()).await? == 0 {
                decoder.finish_at_close()?;
                return Ok(body);
            }
        }
    }

    /// Enlarges the receive buffer if there is room for that.
    fn widen(&mut self, limit: &impl BodyLimit) {
        if self.receive_room.is_some() {
            return;
        }
        self.receive_room = limit.take_receive_room();
        if let Some(room) = &self.receive_room {
            self.set_receive_buffer(room.wide_bytes());
        }
    }

    /// Takes back that it was enlarged. Its room is kept until what it holds is read.
    fn narrow(&mut self) {
        if let Some(room) = &mut self.receive_room {
            let narrow_bytes = room.end_use();
            self.set_receive_buffer(narrow_bytes);
        }
    }

    fn set_receive_buffer(&self, bytes: u32) {
        let socket = socket2::SockRef::from(&self.stream);
        if let Err(error) = socket.set_recv_buffer_size(bytes as usize) {
            log::debug!("cannot set SO_RCVBUF of a connection: {error}");
        }
    }

    /// Whether the peer has sent anything, or closed the connection, since the last message
    /// that was read; what it sent belongs to no request.
    pub fn has_surplus(&mut self) -> bool {
        !self.read_buffer.is_empty() || !matches!(self.try_fill_buffer(), Ok(0))
    }

    /// Appends the bytes that have arrived to `read_buffer` without waiting and returns
    /// their number; the end of the connection is an error.
    pub(super) fn try_fill_buffer(&mut self) -> Result<usize, Http1Error> {
        match self.read_available() {
            Ok(0) => Err(Http1Error::IncompleteMessage),
            Ok(length) => Ok(length),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            Err(error) => Err(Http1Error::Io(error)),
        }
    }

    /// Takes back [`Connection::reset_on_drop`].
    pub fn close_on_drop(&self) {
        let socket = socket2::SockRef::from(&self.stream);
        if let Err(error) = socket.set_linger(None) {
            log::debug!("cannot clear SO_LINGER, the connection will be reset: {error}");
        }
    }

    /// Makes the connection end with a TCP reset when it is dropped.
    ///
    /// The reset discards the bytes that wait in the socket, so that a request that was
    /// abandoned does not reach its replica later.
    pub fn reset_on_drop(&self) {
        let socket = socket2::SockRef::from(&self.stream);
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            log::debug!("cannot set SO_LINGER, the connection will not be reset: {error}");
        }
    }
}
