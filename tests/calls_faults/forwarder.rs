//! A forwarding fake that drops silently without closing.

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

/// What becomes of the first connection; later ones are forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum First {
    /// Its request is held back until `release`.
    HoldRequest,
    /// Its request goes on and the answer is dropped.
    DropAnswer,
}

/// Forwards connections to one address.
pub struct Forwarder {
    pub address: SocketAddr,
    release: mpsc::Sender<()>,
    released: mpsc::Receiver<()>,
}

impl Forwarder {
    /// Starts on a free port of the address's host.
    pub fn start(to: SocketAddr, first: First) -> Self {
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

    /// Lets the held request go on and waits until it has been written.
    pub fn release(&self) {
        self.release.send(()).expect("the forwarder runs");
        self.released.recv().expect("the forwarder runs");
    }
}

type Gate = (mpsc::Receiver<()>, mpsc::Sender<()>);

fn forward(mut inbound: TcpStream, to: SocketAddr, gate: Option<(First, Gate)>) {
    let Ok(mut outbound) = TcpStream::connect(to) else {
        return;
    };
    let drops_answer = matches!(gate, Some((First::DropAnswer, _)));
    let (mut from, mut back) = (clone(&outbound), clone(&inbound));
    // Both ends stay open while the forwarder lives, as if the path had forgotten them.
    let kept = (clone(&inbound), clone(&outbound));
    thread::spawn(move || {
        let _ = pump(&mut from, |bytes| match drops_answer {
            true => Ok(()),
            false => back.write_all(bytes),
        });
    });
    let mut gate = gate;
    let _ = pump(&mut inbound, |bytes| {
        let held = gate.take_if(|(first, _)| *first == First::HoldRequest);
        if let Some((_, (release, forwarded))) = &held {
            let _ = release.recv();
            let written = outbound.write_all(bytes);
            let _ = forwarded.send(());
            return written;
        }
        outbound.write_all(bytes)
    });
    if drops_answer {
        std::mem::forget(kept);
    }
}

fn clone(stream: &TcpStream) -> TcpStream {
    stream.try_clone().expect("a descriptor is free")
}

fn pump(
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
