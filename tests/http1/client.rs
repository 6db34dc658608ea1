//! Responses that the client of internal calls reads.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use bergamotfork::http1::ClientRequest;
use bergamotfork::http1::Http1Client;
use bergamotfork::http1::Http1Error;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Starts a server that sends the bytes of `responses`, in order, after each request that
/// it reads on a connection, and closes the connection after the last one.
fn serve(responses: Vec<Vec<Vec<u8>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the server listens");
    let address = listener.local_addr().expect("it has an address");
    std::thread::spawn(move || {
        for of_connection in responses {
            let (mut stream, _) = listener.accept().expect("a connection is accepted");
            for response in of_connection {
                let mut request = [0; 4096];
                if stream.read(&mut request).is_ok_and(|count| count > 0) {
                    // The client may have closed the connection.
                    let _ = stream.write_all(&response);
                }
            }
        }
    });
    address
}

/// A response with this body.
fn response(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Bodies of the responses to `count` requests on one client, or the errors.
async fn send_requests(address: SocketAddr, count: usize) -> Vec<Result<String, Http1Error>> {
    let mut client = Http1Client::new(address, TIMEOUT);
    let mut bodies = Vec::new();
    for _ in 0..count {
        let reply = client.send(&ClientRequest::get("/x", TIMEOUT)).await;
        bodies.push(reply.map(|reply| String::from_utf8_lossy(&reply.body).into_owned()));
        // Lets bytes arrive that follow the response.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    bodies
}

fn assert_bodies(results: &[Result<String, Http1Error>], expected: &[&str]) {
    let bodies: Vec<&str> = results
        .iter()
        .map(|one| one.as_ref().expect("the request succeeds").as_str())
        .collect();
    assert_eq!(bodies, expected);
}

/// Guards against taking an interim response for the final one, and the final one for the
/// response to the next request.
#[actix_rt::test]
async fn client_interim_response_skipped() {
    let first = [
        b"HTTP/1.1 103 Early\r\nX: y\r\n\r\n".to_vec(),
        response("one"),
    ]
    .concat();
    let address = serve(vec![vec![first, response("two")]]);
    let bodies = send_requests(address, 2).await;
    assert_bodies(&bodies, &["one", "two"]);
}

#[actix_rt::test]
async fn client_endless_interim_responses_too_large() {
    let interim = b"HTTP/1.1 103 Early\r\nX: y\r\n\r\n".repeat(10_000);
    let address = serve(vec![vec![interim]]);
    let bodies = send_requests(address, 1).await;
    assert!(matches!(bodies[0], Err(Http1Error::HeadTooLarge)));
}

/// Guards against taking a surplus response for the response to the next request.
#[actix_rt::test]
async fn client_surplus_response_discarded() {
    let address = serve_late_surplus();
    let bodies = send_requests(address, 2).await;
    assert_bodies(&bodies, &["one", "two"]);
}

/// Starts a server whose first connection sends a surplus response shortly after the first
/// response, and whose second connection responds "two".
fn serve_late_surplus() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the server listens");
    let address = listener.local_addr().expect("it has an address");
    std::thread::spawn(move || {
        let mut request = [0; 4096];
        let (mut first, _) = listener.accept().expect("a connection is accepted");
        let _ = first.read(&mut request);
        let _ = first.write_all(&response("one"));
        std::thread::sleep(Duration::from_millis(10));
        let _ = first.write_all(&response("surplus"));
        let (mut second, _) = listener.accept().expect("a connection is accepted");
        let _ = second.read(&mut request);
        let _ = second.write_all(&response("two"));
    });
    address
}

/// Guards against a request that fails because the peer closed the idle connection.
#[actix_rt::test]
async fn client_idle_connection_closed_by_peer() {
    let address = serve(vec![vec![response("one")], vec![response("two")]]);
    let bodies = send_requests(address, 2).await;
    assert_bodies(&bodies, &["one", "two"]);
}
