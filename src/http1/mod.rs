//! HTTP/1.1 heads, bodies and connections over plain sockets.
//!
//! Forwarding must see what general clients and servers hide: bytes after a
//! complete answer, an answer that comes before its request is out, an answer
//! without a length that is reset, and the exact target of a request. Heads are
//! parsed by `httparse`; framing is strict, so that nothing can be smuggled.

mod body;
mod client;
mod connection;
mod errors;
mod head;
mod server;

pub use body::BodyDecoder;
pub use client::ClientRequest;
pub use client::ClientResponse;
pub use client::Http1Client;
pub use connection::Connection;
pub use errors::Http1Error;
pub use head::Framing;
pub use head::Headers;
pub use head::RequestHead;
pub use head::ResponseHead;
pub use server::InternalHandler;
pub use server::InternalRequest;
pub use server::InternalResponse;
pub use server::read_request_head;
pub use server::serve_internal;
