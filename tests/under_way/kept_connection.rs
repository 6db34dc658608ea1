//! A caller that keeps its connection and reads whole answers from it.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::time::Duration;

use actix_rt::task::spawn_blocking;
use serde_json::Value;

use crate::support::TOKEN;

/// Time for which a caller waits for the next byte of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A complete HTTP answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    /// Whether the server closes the connection after this answer.
    pub closes: bool,
}

/// A connection to an entry that is used for one request after the other.
#[derive(Debug)]
pub struct KeptConnection {
    stream: TcpStream,
    host: String,
    received: Vec<u8>,
}

impl KeptConnection {
    /// Connects to the entry at `url`; an error if it accepts no connection.
    pub fn open(url: &str) -> Result<Self, String> {
        let host = url.strip_prefix("http://").expect("a base URL").to_owned();
        let stream = TcpStream::connect(&host).map_err(|error| format!("refused: {error}"))?;
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("the timeout is not zero");
        Ok(Self {
            stream,
            host,
            received: Vec::new(),
        })
    }

    /// Posts `body`, and returns the connection with the answer or why there is no whole one.
    pub async fn post(self, path: &str, body: &Value) -> (Self, Result<Answer, String>) {
        self.post_in_parts(path, body, Duration::ZERO).await
    }

    /// Posts `body` in two parts with `pause` between them.
    pub async fn post_in_parts(
        mut self,
        path: &str,
        body: &Value,
        pause: Duration,
    ) -> (Self, Result<Answer, String>) {
        let (head, body) = self.request(path, body);
        let exchange = spawn_blocking(move || {
            let (first, second) = body.split_at(body.len() / 2);
            let answer = self.exchange(&format!("{head}{first}"), second, pause);
            (self, answer)
        });
        exchange.await.expect("the caller runs")
    }

    /// Posts `body` byte by byte from its middle on, with `pause` before each byte, until there
    /// is an answer or the connection is cut.
    pub async fn post_slowly(
        mut self,
        path: &str,
        body: &Value,
        pause: Duration,
    ) -> Result<Answer, String> {
        let (head, body) = self.request(path, body);
        let mut sender = self.stream.try_clone().expect("a socket can be shared");
        let (first, rest) = body.split_at(body.len() / 2);
        let (first, rest) = (format!("{head}{first}"), rest.to_owned());
        let sending = spawn_blocking(move || {
            let sent = sender.write_all(first.as_bytes());
            sent.map_err(|error| format!("not sent: {error}"))?;
            for byte in rest.bytes() {
                std::thread::sleep(pause);
                if sender.write_all(&[byte]).is_err() {
                    break;
                }
            }
            Ok::<(), String>(())
        });
        let reading = spawn_blocking(move || self.read_answer());
        let answer = reading.await.expect("the caller runs");
        sending.await.expect("the caller runs")?;
        answer
    }

    /// Posts `body`, closes the sending side, and reads the answer.
    pub async fn post_and_shut(mut self, path: &str, body: &Value) -> Result<Answer, String> {
        let (head, body) = self.request(path, body);
        let exchange = spawn_blocking(move || {
            let sent = self.stream.write_all(format!("{head}{body}").as_bytes());
            sent.and_then(|()| self.stream.shutdown(Shutdown::Write))
                .map_err(|error| format!("not sent: {error}"))?;
            self.read_answer()
        });
        exchange.await.expect("the caller runs")
    }

    /// Waits until the entry closes the connection; an error if it sends something or does not
    /// close it in time.
    pub async fn wait_for_close(mut self) -> Result<(), String> {
        let closing = spawn_blocking(move || {
            let mut byte = [0];
            match self.stream.read(&mut byte) {
                Ok(0) => Ok(()),
                other => Err(format!("{other:?}")),
            }
        });
        closing.await.expect("the caller runs")
    }

    /// Head and body of a request.
    fn request(&self, path: &str, body: &Value) -> (String, String) {
        let body = body.to_string();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {}\r\nauthorization: Bearer {TOKEN}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n",
            self.host,
            body.len()
        );
        (head, body)
    }

    fn exchange(&mut self, first: &str, second: &str, pause: Duration) -> Result<Answer, String> {
        let mut send = |part: &str| self.stream.write_all(part.as_bytes());
        send(first).map_err(|error| format!("not sent: {error}"))?;
        std::thread::sleep(pause);
        send(second).map_err(|error| format!("not sent: {error}"))?;
        self.read_answer()
    }

    fn read_answer(&mut self) -> Result<Answer, String> {
        let head_end = loop {
            if let Some(at) = find(&self.received, b"\r\n\r\n") {
                break at;
            }
            self.read_more()?;
        };
        let head = String::from_utf8_lossy(&self.take(head_end + 4)).to_lowercase();
        let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
        let header = |name: &str| {
            let line = head.lines().find(|line| line.starts_with(name));
            line.map(|line| line[name.len()..].trim().to_owned())
        };
        let body = match header("content-length:") {
            Some(length) => {
                let length: usize = length.parse().expect("a length is a number");
                while self.received.len() < length {
                    self.read_more()?;
                }
                self.take(length)
            }
            None => self.read_chunks()?,
        };
        Ok(Answer {
            status: status.expect("an answer has a status"),
            body: String::from_utf8(body).expect("bodies are text"),
            closes: header("connection:").is_some_and(|value| value == "close"),
        })
    }

    /// Reads the chunks of a body up to the last one.
    fn read_chunks(&mut self) -> Result<Vec<u8>, String> {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                if let Some(at) = find(&self.received, b"\r\n") {
                    break at;
                }
                self.read_more()
                    .map_err(|cut| format!("{cut} after {:?}", String::from_utf8_lossy(&body)))?;
            };
            let line = self.take(line_end + 2);
            let size = String::from_utf8_lossy(&line[..line_end]).into_owned();
            let size = usize::from_str_radix(&size, 16).expect("a chunk has a size");
            while self.received.len() < size + 2 {
                self.read_more()?;
            }
            let chunk = self.take(size + 2);
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }

    fn read_more(&mut self) -> Result<(), String> {
        let mut bytes = [0; 16_384];
        match self.stream.read(&mut bytes) {
            Ok(0) => Err("the connection was closed".to_owned()),
            Ok(read) => {
                self.received.extend_from_slice(&bytes[..read]);
                Ok(())
            }
            Err(error) => Err(format!("the connection broke: {error}")),
        }
    }

    fn take(&mut self, length: usize) -> Vec<u8> {
        self.received.drain(..length).collect()
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|it| it == wanted)
}
