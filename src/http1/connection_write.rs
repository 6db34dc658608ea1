use std::io;

use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::http1::Connection;
use crate::http1::Http1Error;
use crate::http1::ResponseHead;

/// Start of every interim response.
const INTERIM_STATUS_LINE: &[u8] = b"HTTP/1.1 1";

/// Most bytes of interim responses that arrive while a request is written.
const MAX_INTERIM_BYTES: usize = 32 * 1024;

impl Connection {
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
}

/// Whether `bytes` begin with `prefix`, as far as they have arrived.
fn is_start_of(bytes: &[u8], prefix: &[u8]) -> bool {
    bytes.starts_with(prefix) || prefix.starts_with(bytes)
}
