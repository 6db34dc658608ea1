//! A small HTTP/1.1 server and client, with blocking sockets.

use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// Header lines of a message.
#[derive(Debug, Clone, Default)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    /// Value of the first header with this name.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut lines = self.0.iter();
        let line = lines.find(|line| line.0.eq_ignore_ascii_case(name))?;
        Some(&line.1)
    }
}

/// Start line, headers and body of a request or a response.
#[derive(Debug, Clone)]
pub struct Message {
    /// The three words of the start line.
    pub start: [String; 3],
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Message {
    /// Method of a request.
    pub fn method(&self) -> &str {
        &self.start[0]
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        &self.start[1]
    }

    /// Path of a request, without the query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Value of a field of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        Some(pairs.find(|pair| pair.0 == name)?.1)
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.start[1].parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not yet used.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    pub fn set_timeout(&self, timeout: Duration) {
        let _ = self.stream.set_read_timeout(Some(timeout));
        let _ = self.stream.set_write_timeout(Some(timeout));
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> Result<()> {
        let mut buffer = [0; 64 * 1024];
        match self.stream.read(&mut buffer)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            count => {
                self.unread.extend_from_slice(&buffer[..count]);
                Ok(())
            }
        }
    }

    /// Reads the head of a message; its body stays empty.
    pub fn read_head(&mut self) -> Result<Message> {
        let end = loop {
            if let Some(at) = self.unread.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            self.fill()?;
        };
        let head: Vec<u8> = self.unread.drain(..end).collect();
        let text = String::from_utf8_lossy(&head);
        let mut lines = text.lines();
        let mut words = lines.next().unwrap_or_default().splitn(3, ' ');
        let mut word = || words.next().unwrap_or_default().to_owned();
        let start = [word(), word(), word()];
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Message {
            start,
            headers: Headers(headers),
            body: Vec::new(),
        })
    }

    /// Reads exactly `length` bytes.
    pub fn read_bytes(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.unread.len() < length {
            self.fill()?;
        }
        Ok(self.unread.drain(..length).collect())
    }

    fn read_line(&mut self) -> Result<String> {
        let end = loop {
            if let Some(at) = self.unread.windows(2).position(|two| two == b"\r\n") {
                break at + 2;
            }
            self.fill()?;
        };
        let line: Vec<u8> = self.unread.drain(..end).collect();
        Ok(String::from_utf8_lossy(&line[..end - 2]).into_owned())
    }

    /// Reads the data of one chunk; empty after the last one.
    pub fn read_chunk(&mut self) -> Result<Vec<u8>> {
        let line = self.read_line()?;
        let digits = line.split(';').next().unwrap_or_default().trim();
        let length = usize::from_str_radix(digits, 16)
            .map_err(|_| Error::new(ErrorKind::InvalidData, "chunk size"))?;
        let data = self.read_bytes(length)?;
        while !self.read_line()?.is_empty() {}
        Ok(data)
    }

    /// Reads a message with its whole body, which has a length or chunks.
    pub fn read_message(&mut self) -> Result<Message> {
        let mut message = self.read_head()?;
        if message.headers.get("transfer-encoding") == Some("chunked") {
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    break;
                }
                message.body.extend(chunk);
            }
        } else if let Some(length) = message.headers.get("content-length") {
            let length = length
                .parse()
                .map_err(|_| Error::new(ErrorKind::InvalidData, "length"))?;
            message.body = self.read_bytes(length)?;
        }
        Ok(message)
    }

    /// Writes a response with a length; returns whether that succeeded.
    pub fn respond(&mut self, status: u16, headers: &str, body: &[u8]) -> bool {
        let head = format!(
            "HTTP/1.1 {status} .\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let bytes = [head.as_bytes(), body].concat();
        self.write(&bytes).is_ok()
    }
}

/// Sends a GET request on a new connection and returns the response.
pub fn get(address: SocketAddr, target: &str) -> Result<Message> {
    let mut connection = Connection::connect(address)?;
    connection.set_timeout(Duration::from_secs(1));
    connection.write(
        format!("GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes(),
    )?;
    connection.read_message()
}

/// Serves each connection of a listener in a thread of its own, as long as the program runs.
pub fn serve(listener: TcpListener, serve_connection: impl Fn(Connection) + Send + Sync + 'static) {
    let serve_connection = Arc::new(serve_connection);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve_connection = serve_connection.clone();
            std::thread::spawn(move || serve_connection(Connection::new(stream)));
        }
    });
}
