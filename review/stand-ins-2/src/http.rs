//! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Head of a message: its first line, and its header lines with names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// First value of the header `name`, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let line = self.headers.iter().find(|line| line.0 == name)?;
        Some(&line.1)
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Path of a request.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Value of a query parameter.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|pair| pair.0 == name).map(|pair| pair.1)
    }

    /// Status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read from it and not yet used.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Opens a connection within a second.
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        Some(Self::new(stream))
    }

    fn fill(&mut self) -> bool {
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(0) | Err(_) => false,
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                true
            }
        }
    }

    /// Reads a head; None when the connection ends first.
    pub fn read_head(&mut self) -> Option<Head> {
        let end = loop {
            let found = self.buffer.windows(4).position(|part| part == b"\r\n\r\n");
            match found {
                Some(at) => break at,
                None if self.fill() => {}
                None => return None,
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Some(Head {
            first_line,
            headers,
        })
    }

    /// Reads `count` bytes; None when the connection ends first.
    pub fn read_bytes(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Some(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// Reads the body of a message; returns it with whether its end has come.
    pub fn read_body(&mut self, head: &Head) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        if head.header("transfer-encoding").is_some() {
            loop {
                let size = self.read_line();
                let Some(size) = size.and_then(|line| usize::from_str_radix(&line, 16).ok()) else {
                    return (body, false);
                };
                let Some(chunk) = self.read_bytes(size + 2) else {
                    return (body, false);
                };
                if size == 0 {
                    return (body, true);
                }
                body.extend_from_slice(&chunk[..size]);
            }
        }
        let length = head
            .header("content-length")
            .and_then(|text| text.parse().ok());
        match self.read_bytes(length.unwrap_or(0)) {
            Some(bytes) => (bytes, true),
            None => (std::mem::take(&mut self.buffer), false),
        }
    }

    /// Writes a response with a length; returns whether that succeeded.
    pub fn respond(&mut self, status: u16, headers: &str, body: &[u8]) -> bool {
        let head = format!(
            "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let bytes = [head.as_bytes(), body].concat();
        self.stream.write_all(&bytes).is_ok()
    }
}

/// Serves requests at `address` until the process ends; `handle` gets a request with its body
/// and returns whether the connection stays open.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(&Head, &[u8], &mut Connection) -> bool + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Some(head) = connection.read_head() {
                    let (body, is_whole) = connection.read_body(&head);
                    if !is_whole || !handle(&head, &body, &mut connection) {
                        break;
                    }
                }
            });
        }
    });
    Ok(bound)
}
