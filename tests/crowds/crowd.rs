use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use super::WatchedProcess;

/// Time for which a client of a crowd waits for its connection.
const CONNECT_TIME: Duration = Duration::from_secs(3);

/// Time for which a client of a crowd goes on sending.
const SEND_TIME: Duration = Duration::from_secs(20);

/// Time for which a crowd is watched once it has sent everything.
const HOLD_TIME: Duration = Duration::from_millis(1_500);

/// Clients whose connections stay open until it is dropped.
#[derive(Debug)]
pub struct Crowd {
    _connections: Vec<TcpStream>,
}

impl Crowd {
    /// Lets `clients` clients send `head` and then `piece` again and again until they have sent
    /// `body_bytes`, and checks the process meanwhile and for some time afterwards.
    pub fn send(
        process: &WatchedProcess,
        address: SocketAddr,
        clients: usize,
        head: &str,
        piece: &[u8],
        body_bytes: usize,
    ) -> Self {
        let (head, piece): (Arc<[u8]>, Arc<[u8]>) = (head.as_bytes().into(), piece.into());
        let mut senders: Vec<JoinHandle<Option<TcpStream>>> = Vec::with_capacity(clients);
        for _ in 0..clients {
            let (head, piece) = (head.clone(), piece.clone());
            senders.push(std::thread::spawn(move || {
                let stream = TcpStream::connect_timeout(&address, CONNECT_TIME).ok()?;
                send_body(&stream, &head, &piece, body_bytes);
                Some(stream)
            }));
        }
        while senders.iter().any(|sender| !sender.is_finished()) {
            process.check();
            std::thread::sleep(Duration::from_millis(5));
        }
        let joined = senders.into_iter().map(|sender| sender.join());
        let connections = joined.filter_map(|stream| stream.expect("no client panics"));
        let crowd = Self {
            _connections: connections.collect(),
        };
        let held_at = Instant::now();
        while held_at.elapsed() < HOLD_TIME {
            process.check();
            std::thread::sleep(Duration::from_millis(5));
        }
        crowd
    }
}

/// Sends a body until it is sent, the process has closed the connection or the time is over.
fn send_body(mut stream: &TcpStream, head: &[u8], piece: &[u8], body_bytes: usize) {
    let began = Instant::now();
    let timeout = Some(Duration::from_secs(2));
    stream.set_write_timeout(timeout).expect("a valid timeout");
    let mut left = body_bytes;
    let mut is_open = stream.write_all(head).is_ok();
    while is_open && left > 0 && began.elapsed() < SEND_TIME {
        let count = piece.len().min(left);
        is_open = stream.write_all(&piece[..count]).is_ok();
        left -= count;
    }
}

/// One chunk of `bytes` bytes.
pub fn chunk(bytes: usize) -> Vec<u8> {
    format!("{bytes:x}\r\n{}\r\n", "c".repeat(bytes)).into_bytes()
}
