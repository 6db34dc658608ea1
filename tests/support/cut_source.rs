use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;

/// Content that a source sends before it breaks off.
pub const CUT_CONTENT: &[u8] = b"the first bytes of a version";

/// Starts a source of weights that breaks off within a body of unknown length.
pub fn start_cut_source() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the address is free");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for connection in listener.incoming() {
            let mut connection = connection.expect("a connection is accepted");
            let _ = connection.read(&mut [0; 4096]);
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            let body = [
                format!("{head}{:x}\r\n", CUT_CONTENT.len()).as_bytes(),
                CUT_CONTENT,
                b"\r\n",
            ]
            .concat();
            connection.write_all(&body).expect("the body is sent");
        }
    });
    address
}
