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

/// Bytes kept of pipelined requests while a request is handled.
pub(super) const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// Interval at which what a peer sends beyond these bytes is discarded. TCP slows the peer down
/// in between.
const DISCARD_INTERVAL: Duration = Duration::from_millis(100);

/// Content of a body from which a larger receive buffer is used.
const MIN_WIDE_BODY_BYTES: usize = 64 * 1024;

/// Reads that find bytes at once before other tasks get their turn: a peer that sends
/// without a pause would otherwise stall the process, and no timer would fire.
const MAX_READS_IN_A_ROW: u32 = 4;

/// Lateness of a timer from which the process may have stood still: its timers then come before
/// what has arrived meanwhile.
pub const LATE_TIMER: Duration = Duration::from_millis(20);

/// Start of every interim response.
const INTERIM_STATUS_LINE: &[u8] = b"HTTP/1.1 1";

/// Most bytes of interim responses that arrive while a request is written.
const MAX_INTERIM_BYTES: usize = 32 * 1024;

thread_local! {
    /// What a read receives; a connection holds only what has arrived on it.
    static RECEIVED: RefCell<[u8; READ_CHUNK_BYTES]> =
        const { RefCell::new([0; READ_CHUNK_BYTES]) };
}

/// TCP connection with a buffer of the bytes that were read but not yet parsed.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes that were read but not yet parsed.
    pub read_buffer: BytesMut,
    reads_in_a_row: u32,
    /// Room for a larger receive buffer.
    receive_room: Option<ReceiveRoom>,
    /// Next time at which bytes are discarded, once the peer has sent more ahead than is kept.
    discard_at: Option<Instant>,
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
    fn try_read(&mut self, received: &mut [u8]) -> io::Result<usize> {
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

    fn set_receive_buffer(&self, bytes: usize) {
        let socket = socket2::SockRef::from(&self.stream);
        if let Err(error) = socket.set_recv_buffer_size(bytes) {
            log::debug!("cannot set SO_RCVBUF of a connection: {error}");
        }
    }

    /// Writes all of `bytes`, and fails after `deadline`.
    pub async fn write_with_deadline(
        &self,
        bytes: &[u8],
        deadline: Instant,
    ) -> Result<(), Http1Error> {
        // The process may have stood still since the caller set the deadline.
        if Instant::now() >= deadline {
            return Err(Http1Error::TimedOut);
        }
        match timeout_at(deadline, self.write(bytes)).await {
            Ok(result) => result.map_err(Http1Error::Io),
            Err(_) => Err(Http1Error::TimedOut),
        }
    }

    /// Writes all of `head` and then of `body`, and fails after `deadline`.
    pub async fn write_message_with_deadline(
        &self,
        head: &[u8],
        body: &[u8],
        deadline: Instant,
    ) -> Result<(), Http1Error> {
        self.write_with_deadline(head, deadline).await?;
        if body.is_empty() {
            return Ok(());
        }
        self.write_with_deadline(body, deadline).await
    }

    /// Writes all of `bytes`, however long it takes.
    async fn write(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.stream.try_write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(length) => bytes = &bytes[length..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.stream.writable().await?;
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Writes `bytes`, but stops when the peer responds first, as it does when it refuses a
    /// request before it has read it all. Interim responses (1xx) are skipped.
    ///
    /// Returns the number of bytes written. What arrived is in `read_buffer`.
    ///
    /// # Errors
    ///
    /// [`Http1Error`] when the connection fails, the deadline passes, or the interim
    /// responses are too large.
    pub async fn write_until_readable(
        &mut self,
        bytes: &[u8],
        deadline: Instant,
    ) -> Result<usize, Http1Error> {
        let mut sent = 0;
        let mut interim_bytes = 0;
        while sent < bytes.len() {
            match self.stream.try_write(&bytes[sent..]) {
                Ok(length) => sent += length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    let interest = tokio::io::Interest::READABLE | tokio::io::Interest::WRITABLE;
                    let ready = match timeout_at(deadline, self.stream.ready(interest)).await {
                        Ok(ready) => ready?,
                        Err(_) => return Err(Http1Error::TimedOut),
                    };
                    if ready.is_readable() && self.try_fill_buffer()? > 0 {
                        interim_bytes += self.skip_interim_responses();
                        if !is_start_of(&self.read_buffer, INTERIM_STATUS_LINE) {
                            return Ok(sent);
                        }
                        if interim_bytes + self.read_buffer.len() > MAX_INTERIM_BYTES {
                            return Err(Http1Error::HeadTooLarge);
                        }
                    }
                }
                Err(error) => return Err(Http1Error::Io(error)),
            }
        }
        Ok(sent)
    }

    /// Removes the complete interim responses at the front of `read_buffer`; returns how many
    /// bytes they had.
    fn skip_interim_responses(&mut self) -> usize {
        let buffered_bytes = self.read_buffer.len();
        while self.read_buffer.starts_with(INTERIM_STATUS_LINE) {
            match ResponseHead::parse_from(&mut self.read_buffer, MAX_INTERIM_BYTES) {
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => break,
            }
        }
        buffered_bytes - self.read_buffer.len()
    }

    /// Whether the peer has sent anything, or closed the connection, since the last message
    /// that was read; what it sent belongs to no request.
    pub fn has_surplus(&mut self) -> bool {
        !self.read_buffer.is_empty() || !matches!(self.try_fill_buffer(), Ok(0))
    }

    /// Appends the bytes that have arrived to `read_buffer` without waiting and returns
    /// their number; the end of the connection is an error.
    fn try_fill_buffer(&mut self) -> Result<usize, Http1Error> {
        match self.read_available() {
            Ok(0) => Err(Http1Error::IncompleteMessage),
            Ok(length) => Ok(length),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            Err(error) => Err(Http1Error::Io(error)),
        }
    }

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

/// Whether `bytes` begin with `prefix`, as far as they have arrived.
fn is_start_of(bytes: &[u8], prefix: &[u8]) -> bool {
    bytes.starts_with(prefix) || prefix.starts_with(bytes)
}
