use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::http1::BodyDecoder;
use crate::http1::Http1Error;

/// Bytes read from a connection at once.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Unread bytes kept while something else is awaited; more wait in the socket.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// One TCP connection with the bytes read ahead.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes that were read and not yet used.
    pub read_buffer: BytesMut,
}

impl Connection {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("cannot switch off delayed sends: {error}");
        }
        Self {
            stream,
            read_buffer: BytesMut::new(),
        }
    }

    /// Opens a connection within `limit`.
    pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Self, Http1Error> {
        match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => Ok(Self::new(stream)),
            Ok(Err(error)) => Err(Http1Error::NotConnected(error)),
            Err(_) => Err(Http1Error::NotConnected(io::ErrorKind::TimedOut.into())),
        }
    }

    /// Reads what has arrived, at least one byte; 0 when the peer closed.
    pub async fn fill_buffer(&mut self) -> io::Result<usize> {
        loop {
            self.read_buffer.reserve(READ_CHUNK_BYTES);
            match self.stream.try_read_buf(&mut self.read_buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.stream.readable().await?;
                }
                result => return result,
            }
        }
    }

    /// Reads as `fill_buffer` does, no later than `until`.
    pub async fn fill_buffer_with_deadline(
        &mut self,
        deadline: Instant,
    ) -> Result<usize, Http1Error> {
        match timeout_at(deadline, self.fill_buffer()).await {
            Ok(result) => result.map_err(Http1Error::Io),
            Err(_) => Err(Http1Error::TimedOut),
        }
    }

    /// Reads a body of at most `max_bytes`; `until` gives the time of each wait.
    ///
    /// # Errors
    ///
    /// When it is too long, not well-formed, cut off or late.
    pub async fn read_body(
        &mut self,
        mut decoder: BodyDecoder,
        max_bytes: usize,
        deadline: impl Fn() -> Instant,
    ) -> Result<Vec<u8>, Http1Error> {
        let mut body = Vec::new();
        loop {
            decoder.decode(&mut self.read_buffer, &mut body)?;
            if body.len() > max_bytes {
                return Err(Http1Error::BodyTooLarge);
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

    /// Writes all of `bytes`, no later than `until`.
    pub async fn write_with_deadline(
        &self,
        bytes: &[u8],
        deadline: Instant,
    ) -> Result<(), Http1Error> {
        match timeout_at(deadline, self.write(bytes)).await {
            Ok(result) => result.map_err(Http1Error::Io),
            Err(_) => Err(Http1Error::TimedOut),
        }
    }

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

    /// Writes `bytes` while reading answers; returns how many bytes went out
    /// when something arrived first.
    pub async fn write_until_readable(
        &mut self,
        bytes: &[u8],
        deadline: Instant,
    ) -> Result<usize, Http1Error> {
        let mut sent = 0;
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
                        return Ok(sent);
                    }
                }
                Err(error) => return Err(Http1Error::Io(error)),
            }
        }
        Ok(sent)
    }

    /// Reads without waiting; 0 when nothing has arrived.
    fn try_fill_buffer(&mut self) -> Result<usize, Http1Error> {
        self.read_buffer.reserve(READ_CHUNK_BYTES);
        match self.stream.try_read_buf(&mut self.read_buffer) {
            Ok(0) => Err(Http1Error::IncompleteMessage),
            Ok(length) => Ok(length),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            Err(error) => Err(Http1Error::Io(error)),
        }
    }

    /// Resolves when the peer has closed; requests sent ahead are kept.
    pub async fn wait_closed(&mut self) {
        loop {
            if self.read_buffer.len() >= MAX_READ_AHEAD_BYTES {
                std::future::pending::<()>().await;
            }
            match self.fill_buffer().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Runs `work` until it is done or the peer has closed.
    pub async fn run_unless_closed<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            done = work => Some(done),
            () = self.wait_closed() => None,
        }
    }

    /// Makes the connection end with a reset whenever it is dropped.
    ///
    /// What was not sent by then is discarded, so that a request that is given
    /// up does not reach its replica later.
    pub fn reset_on_drop(&self) {
        let socket = socket2::SockRef::from(&self.stream);
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            log::debug!("a connection will not be reset: {error}");
        }
    }
}
