use bytes::Buf;
use bytes::BytesMut;

use crate::http1::Http1Error;

/// Header lines that one head may hold.
const MAX_HEADERS: usize = 96;

/// Header lines in the order of arrival; names compare without case.
#[derive(Debug, Clone, Default)]
pub struct Headers {
    lines: Vec<(String, Vec<u8>)>,
}

impl Headers {
    /// Appends a line.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<Vec<u8>>) {
        self.lines.push((name.into(), value.into()));
    }

    /// First value of `name` as text.
    pub fn first_text(&self, name: &str) -> Option<&str> {
        let line = self
            .lines
            .iter()
            .find(|line| line.0.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&line.1).ok().map(str::trim)
    }

    /// Every value of `name`.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.lines
            .iter()
            .filter(move |line| line.0.eq_ignore_ascii_case(name))
            .map(|line| line.1.as_slice())
    }

    /// All lines.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.lines
            .iter()
            .map(|line| (line.0.as_str(), line.1.as_slice()))
    }

    /// Whether a comma-separated list under `name` holds `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    fn from_httparse(parsed: &[httparse::Header<'_>]) -> Self {
        Self {
            lines: parsed
                .iter()
                .map(|header| (header.name.to_owned(), header.value.to_vec()))
                .collect(),
        }
    }
}

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// That many bytes.
    Length(u64),
    /// In chunks, with an end record.
    Chunked,
    /// Until the connection ends; answers only.
    UntilClose,
}

/// Head of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Method, as sent.
    pub method: String,
    /// Target, as sent.
    pub target: String,
    /// Whether the client speaks HTTP/1.0.
    pub is_http10: bool,
    /// Header lines.
    pub headers: Headers,
}

impl RequestHead {
    /// Takes a complete head off the front of `read_buffer`; None when more is needed.
    pub fn parse_from(
        read_buffer: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<Option<Self>, Http1Error> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut lines);
        let len = match parsed.parse(read_buffer) {
            Ok(httparse::Status::Complete(len)) => len,
            Ok(httparse::Status::Partial) if read_buffer.len() > max_bytes => {
                return Err(Http1Error::HeadTooLarge);
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => return Err(Http1Error::HeadTooLarge),
            Err(_) => return Err(Http1Error::Malformed("request head")),
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

    /// How the body ends; ambiguous framing is an error.
    pub fn framing(&self) -> Result<Framing, Http1Error> {
        let length = content_length(&self.headers)?;
        match (transfer_encoding(&self.headers)?, length) {
            (true, Some(_)) => Err(Http1Error::Malformed("length beside chunked")),
            (true, None) if self.is_http10 => Err(Http1Error::Malformed("chunked in HTTP/1.0")),
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

    /// Query of the target.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |parts| parts.1)
    }

    /// Whether the client wants the connection closed after the answer.
    pub fn wants_close(&self) -> bool {
        self.headers.has_token("connection", "close")
            || (self.is_http10 && !self.headers.has_token("connection", "keep-alive"))
    }
}

/// Head of an answer.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Header lines.
    pub headers: Headers,
}

impl ResponseHead {
    /// Takes a complete head off the front of `read_buffer`; None when more is needed.
    pub fn parse_from(
        read_buffer: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<Option<Self>, Http1Error> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut lines);
        let len = match parsed.parse(read_buffer) {
            Ok(httparse::Status::Complete(len)) => len,
            Ok(httparse::Status::Partial) if read_buffer.len() > max_bytes => {
                return Err(Http1Error::HeadTooLarge);
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Http1Error::Malformed("answer head")),
        };
        let head = Self {
            status: parsed.code.unwrap_or_default(),
            reason: parsed.reason.unwrap_or_default().to_owned(),
            headers: Headers::from_httparse(parsed.headers),
        };
        read_buffer.advance(len);
        Ok(Some(head))
    }

    /// How the body of an answer to `method` ends.
    pub fn framing(&self, method: &str) -> Result<Framing, Http1Error> {
        if method == "HEAD" || self.status == 204 || self.status == 304 || self.status < 200 {
            return Ok(Framing::None);
        }
        let length = content_length(&self.headers)?;
        match (transfer_encoding(&self.headers)?, length) {
            (true, Some(_)) => Err(Http1Error::Malformed("length beside chunked")),
            (true, None) => Ok(Framing::Chunked),
            (false, Some(length)) => Ok(Framing::Length(length)),
            (false, None) => Ok(Framing::UntilClose),
        }
    }
}

fn content_length(headers: &Headers) -> Result<Option<u64>, Http1Error> {
    let mut values = headers.values("content-length");
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Http1Error::Malformed("repeated length"));
    }
    let digits = std::str::from_utf8(value).map(str::trim).unwrap_or("");
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Http1Error::Malformed("length"));
    }
    digits
        .parse()
        .map(Some)
        .map_err(|_| Http1Error::Malformed("length"))
}

/// Whether the body comes in chunks; any other coding is an error.
fn transfer_encoding(headers: &Headers) -> Result<bool, Http1Error> {
    let mut values = headers.values("transfer-encoding");
    let Some(value) = values.next() else {
        return Ok(false);
    };
    let is_chunked = value.trim_ascii().eq_ignore_ascii_case(b"chunked");
    if values.next().is_some() || !is_chunked {
        return Err(Http1Error::Malformed("transfer coding"));
    }
    Ok(true)
}
