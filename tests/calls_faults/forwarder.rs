//! A TCP forwarder that holds back or drops data without closing the connection.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;

/// Fault of the first connection; later connections are forwarded unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstConnection {
    /// The request is held back until `release` is called.
    HoldRequest,
    /// The request is forwarded and the answer dropped.
    DropAnswer,
}

/// Forwards TCP connections to one address.
pub struct Forwarder {
    pub address: SocketAddr,
    release: mpsc::Sender<()>,
    released: mpsc::Receiver<()>,
}

impl Forwarder {
    /// Listens on a free port of the IP address of `to` and forwards to `to`.
    pub fn start(to: SocketAddr, first: FirstConnection) -> Self {
        let listener = TcpListener::bind((to.ip(), 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (release, held) = mpsc::channel();
        let (forwarded, released) = mpsc::channel();
        let count = Arc::new(AtomicUsize::new(0));
        thread::spawn(move || {
            let mut held = Some((held, forwarded));
            for inbound in listener.incoming().flatten() {
                let is_first = count.fetch_add(1, Ordering::Relaxed) == 0;
                let gate = is_first.then(|| held.take()).flatten();
                thread::spawn(move || forward(inbound, to, gate.map(|gate| (first, gate))));
            }
        });
        Self {
            address,
            release,
            released,
        }
    }

    /// Forwards the held request and waits until it has been written.
    pub fn release(&self) {
        self.release.send(()).expect("the forwarder runs");
        self.released.recv().expect("the forwarder runs");
    }
}

/// Channels that release the held request and confirm that it has been written.
type Gate = (mpsc::Receiver<()>, mpsc::Sender<()>);

fn forward(mut inbound: TcpStream, to: SocketAddr, gate: Option<(FirstConnection, Gate)>) {
    let Ok(mut outbound) = TcpStream::connect(to) else {
        return;
    };
    let drops_answer = matches!(gate, Some((FirstConnection::DropAnswer, _)));
    let (mut from, mut back) = (clone_stream(&outbound), clone_stream(&inbound));
    // Both sockets stay open, as when a network path drops packets without a reset.
    let open_sockets = (clone_stream(&inbound), clone_stream(&outbound));
    thread::spawn(move || {
        let _ = copy_until_closed(&mut from, |bytes| match drops_answer {
            true => Ok(()),
            false => back.write_all(bytes),
        });
    });
    let mut gate = gate;
    let _ = copy_until_closed(&mut inbound, |bytes| {
        let held = gate.take_if(|(first, _)| *first == FirstConnection::HoldRequest);
        if let Some((_, (release, forwarded))) = &held {
            let _ = release.recv();
            let written = outbound.write_all(bytes);
            let _ = forwarded.send(());
            return written;
        }
        outbound.write_all(bytes)
    });
    if drops_answer {
        std::mem::forget(open_sockets);
    }
}

fn clone_stream(stream: &TcpStream) -> TcpStream {
    stream.try_clone().expect("a descriptor is free")
}

/// Passes everything read from `from` to `write` until the connection closes.
fn copy_until_closed(
    from: &mut TcpStream,
    mut write: impl FnMut(&[u8]) -> std::io::Result<()>,
) -> std::io::Result<()> {
    let mut bytes = [0; 16_384];
    loop {
        match from.read(&mut bytes)? {
            0 => return Ok(()),
            read => write(&bytes[..read])?,
        }
    }
}
