//! HTTP/1.1 heads, bodies and connections over plain sockets.
//!
//! The gateway forwards requests and needs details that general-purpose HTTP
//! libraries hide: bytes after a complete response, a response that arrives before
//! its request is fully sent, a reset in the middle of a response without a length,
//! and the target of a request exactly as sent. Heads are parsed by `httparse`.
//! Ambiguous framing is rejected, which prevents request smuggling.

mod arriving_request;
mod body;
mod body_limit;
mod client;
mod connection;
mod connection_end;
mod connection_options;
mod connection_slots;
mod connection_write;
mod errors;
mod head;
mod head_search;
mod headers;
mod held_request;
mod listener_load;
mod memory_budget;
mod receive_buffer;
mod receive_room;
mod server;

pub use arriving_request::ArrivingRequest;
pub use body::BodyDecoder;
pub use body_limit::BodyLimit;
pub use client::ClientRequest;
pub use client::ClientResponse;
pub use client::Http1Client;
pub use connection::Connection;
pub use connection::LATE_TIMER;
pub use connection_options::ConnectionOptions;
pub use connection_slots::ConnectionSlot;
pub use connection_slots::ConnectionSlots;
pub use connection_slots::ConnectionStage;
pub use errors::Http1Error;
pub use head::Framing;
pub use head::RequestHead;
pub use head::ResponseHead;
pub use head_search::HeadSearch;
pub use headers::Headers;
pub use held_request::FREE_ANSWER_BYTES;
pub use held_request::HeldRequest;
pub use listener_load::CONNECTION_BYTES;
pub use listener_load::ListenerLoad;
pub use memory_budget::MemoryBudget;
pub use memory_budget::RoomUse;
pub use receive_buffer::INTERNAL_RECEIVE_BUFFER_BYTES;
pub use receive_buffer::RECEIVE_BUFFER_BYTES;
pub use receive_room::ReceiveRoom;
pub use server::InternalHandler;
pub use server::InternalLimits;
pub use server::InternalRequest;
pub use server::InternalResponse;
pub use server::read_request_head;
pub use server::serve_internal;
