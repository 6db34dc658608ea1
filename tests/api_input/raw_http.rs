use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use serde_json::Value;

/// Longest wait for the next bytes of an answer.
const ANSWER_WAIT: Duration = Duration::from_secs(20);

/// Answer as received; the status is 0 if the connection was closed without one.
#[derive(Debug)]
pub struct RawAnswer {
    pub status: u16,
    head: String,
    body: String,
}

impl RawAnswer {
    fn parse(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        Self {
            status: status.unwrap_or(0),
            head: head.to_lowercase(),
            body: body.to_owned(),
        }
    }

    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let start = format!("{name}: ");
        self.head.lines().find_map(|line| line.strip_prefix(&start))
    }

    /// The body; null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the entry takes connections");
    stream
        .set_read_timeout(Some(ANSWER_WAIT))
        .expect("a timeout can be set");
    stream
}

/// Reads the answer until the entry closes the connection.
fn read_until_closed(mut stream: TcpStream) -> RawAnswer {
    let mut bytes = Vec::new();
    match stream.read_to_end(&mut bytes) {
        Ok(_) => {}
        Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {}
        Err(error) => panic!("no answer: {error}"),
    }
    RawAnswer::parse(&bytes)
}

/// Sends a request over a new connection and reads the answer.
///
/// The headers `host` and `connection` are added to the head.
pub fn send_request(address: SocketAddr, head: &str, body: &str) -> RawAnswer {
    let mut stream = connect(address);
    let request = format!("{head}host: entry\r\nconnection: close\r\n\r\n{body}");
    // The entry may answer and close before it has read everything.
    let _ = stream.write_all(request.as_bytes());
    read_until_closed(stream)
}

/// Sends `at_once`, then `bytes` one by one with pauses, until the entry closes the
/// connection.
pub fn send_slowly(address: SocketAddr, at_once: &str, bytes: &str, pause: Duration) -> RawAnswer {
    let mut stream = connect(address);
    stream
        .write_all(at_once.as_bytes())
        .expect("the entry reads");
    let reader = stream.try_clone().expect("a connection can be cloned");
    let reading = std::thread::spawn(move || read_until_closed(reader));
    for byte in bytes.as_bytes() {
        if reading.is_finished() || stream.write_all(&[*byte]).is_err() {
            break;
        }
        sleep(pause);
    }
    reading.join().expect("the reader ends")
}
