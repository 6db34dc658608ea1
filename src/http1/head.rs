use std::ops::RangeInclusive;

use bytes::Buf;
use bytes::BytesMut;

use crate::http1::Headers;
use crate::http1::Http1Error;

/// Bytes of the shortest header line.
const MIN_LINE_BYTES: usize = 4;

/// Statuses that HTTP has.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Status of an upgrade, which no request here asks for.
const SWITCHING_PROTOCOLS: u16 = 101;

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// By Content-Length, in bytes.
    Length(u64),
    /// By the last chunk of a chunked transfer encoding.
    Chunked,
    /// By the end of the connection; for responses only.
    UntilClose,
}

impl Framing {
    /// Length of the body, where it is announced.
    pub fn announced_bytes(self) -> Option<u64> {
        match self {
            Self::Length(length) => Some(length),
            Self::None | Self::Chunked | Self::UntilClose => None,
        }
    }

    /// Name of the framing in logs and metrics; part of the interface.
    pub fn label(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }
}

/// Request line and headers of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Method, as received.
    pub method: String,
    /// Path and query, as received.
    pub target: String,
    /// Whether the request is of HTTP/1.0 and not HTTP/1.1.
    pub is_http10: bool,
    /// Header lines, in the order of arrival.
    pub headers: Headers,
}

impl RequestHead {
    /// Parses a head and takes it off the front of `read_buffer`; `None` when it is not
    /// complete yet.
    ///
    /// # Errors
    ///
    /// [`Http1Error::HeadTooLarge`] or [`Http1Error::Malformed`].
    pub fn parse_from(
        read_buffer: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<Option<Self>, Http1Error> {
        let mut lines = vec![httparse::EMPTY_HEADER; max_lines(read_buffer, max_bytes)];
        let mut parsed = httparse::Request::new(&mut lines);
        let len = match parsed.parse(read_buffer) {
            Ok(httparse::Status::Complete(len)) => len,
            Ok(httparse::Status::Partial) if read_buffer.len() > max_bytes => {
                return Err(Http1Error::HeadTooLarge);
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => return Err(Http1Error::HeadTooLarge),
            Err(_) => return Err(Http1Error::Malformed("head of the request")),
        };
        if len > max_bytes {
            return Err(Http1Error::HeadTooLarge);
        }
        let head = Self {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            is_http10: parsed.version == Some(0),
            headers: Headers::from_httparse(parsed.headers),
        };
        read_buffer.advance(len);
        Ok(Some(head))
    }

    /// Framing of the request's body.
    ///
    /// # Errors
    ///
    /// [`Http1Error::Malformed`] when the end of the body is ambiguous.
    pub fn framing(&self) -> Result<Framing, Http1Error> {
        let length = content_length(&self.headers)?;
        match (is_chunked(&self.headers)?, length) {
            (true, Some(_)) => Err(Http1Error::Malformed(
                "both Content-Length and Transfer-Encoding",
            )),
            (true, None) if self.is_http10 => {
                Err(Http1Error::Malformed("Transfer-Encoding in HTTP/1.0"))
            }
            (true, None) => Ok(Framing::Chunked),
            (false, Some(0) | None) => Ok(Framing::None),
            (false, Some(length)) => Ok(Framing::Length(length)),
        }
    }

    /// Path of the target, without the query.
    pub fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(self.target.as_str(), |parts| parts.0)
    }

    /// Query of the target, without the question mark; empty when there is none.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |parts| parts.1)
    }

    /// Whether the client wants the connection closed after the response.
    pub fn wants_close(&self) -> bool {
        self.headers.has_token("connection", "close")
            || (self.is_http10 && !self.headers.has_token("connection", "keep-alive"))
    }
}

/// Most header lines that a head of at most `max_bytes` at the front of `read_buffer` can have.
fn max_lines(read_buffer: &[u8], max_bytes: usize) -> usize {
    let head = &read_buffer[..read_buffer.len().min(max_bytes)];
    let line_ends = head.iter().filter(|byte| **byte == b'\n').count();
    line_ends.min(max_bytes / MIN_LINE_BYTES) + 1
}

/// Status line and headers of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase; may be empty.
    pub reason: String,
    /// Whether the response is of HTTP/1.0 and not HTTP/1.1.
    pub is_http10: bool,
    /// Header lines, in the order of arrival.
    pub headers: Headers,
}

impl ResponseHead {
    /// Parses a head and takes it off the front of `read_buffer`; `None` when it is not
    /// complete yet.
    ///
    /// # Errors
    ///
    /// [`Http1Error::HeadTooLarge`] or [`Http1Error::Malformed`].
    pub fn parse_from(
        read_buffer: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<Option<Self>, Http1Error> {
        let mut lines = vec![httparse::EMPTY_HEADER; max_lines(read_buffer, max_bytes)];
        let mut parsed = httparse::Response::new(&mut lines);
        let len = match parsed.parse(read_buffer) {
            Ok(httparse::Status::Complete(len)) => len,
            Ok(httparse::Status::Partial) if read_buffer.len() > max_bytes => {
                return Err(Http1Error::HeadTooLarge);
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Http1Error::Malformed("head of the response")),
        };
        if len > max_bytes {
            return Err(Http1Error::HeadTooLarge);
        }
        let status = parsed.code.unwrap_or_default();
        // Nothing that such a head says of its body is believed.
        if !STATUSES.contains(&status) || status == SWITCHING_PROTOCOLS {
            return Err(Http1Error::Malformed("status of the response"));
        }
        let head = Self {
            status,
            reason: parsed.reason.unwrap_or_default().to_owned(),
            is_http10: parsed.version == Some(0),
            headers: Headers::from_httparse(parsed.headers),
        };
        read_buffer.advance(len);
        Ok(Some(head))
    }

    /// Whether another response to the same request follows.
    pub fn is_interim(&self) -> bool {
        self.status < 200
    }

    /// Framing of the body of a response to `method`.
    ///
    /// # Errors
    ///
    /// [`Http1Error::Malformed`] when the end of the body is ambiguous.
    pub fn framing(&self, method: &str) -> Result<Framing, Http1Error> {
        if method == "HEAD" || self.status == 204 || self.status == 304 || self.status < 200 {
            return Ok(Framing::None);
        }
        let length = content_length(&self.headers)?;
        match (is_chunked(&self.headers)?, length) {
            (true, Some(_)) => Err(Http1Error::Malformed(
                "both Content-Length and Transfer-Encoding",
            )),
            (true, None) if self.is_http10 => {
                Err(Http1Error::Malformed("Transfer-Encoding in HTTP/1.0"))
            }
            (true, None) => Ok(Framing::Chunked),
            (false, Some(length)) => Ok(Framing::Length(length)),
            (false, None) => Ok(Framing::UntilClose),
        }
    }
}

/// Value of Content-Length; more than one such header is an error.
fn content_length(headers: &Headers) -> Result<Option<u64>, Http1Error> {
    let mut values = headers.values("content-length");
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Http1Error::Malformed("repeated Content-Length"));
    }
    let digits = std::str::from_utf8(value).map(str::trim).unwrap_or("");
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Http1Error::Malformed("Content-Length"));
    }
    digits
        .parse()
        .map(Some)
        .map_err(|_| Http1Error::Malformed("Content-Length"))
}

/// Whether the transfer encoding is chunked; any other one is an error.
fn is_chunked(headers: &Headers) -> Result<bool, Http1Error> {
    let mut values = headers.values("transfer-encoding");
    let Some(value) = values.next() else {
        return Ok(false);
    };
    let is_chunked = value.trim_ascii().eq_ignore_ascii_case(b"chunked");
    if values.next().is_some() || !is_chunked {
        return Err(Http1Error::Malformed(
            "Transfer-Encoding other than chunked",
        ));
    }
    Ok(true)
}
