use std::future::Future;
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::connection_reuse::ConnectionReuse;
use crate::gateway::end_causes::STOPPING;
use crate::gateway::event_splitter::StreamEvent;
use crate::gateway::exchange::write_header;
use crate::http1::Connection;
use crate::http1::ConnectionOptions;
use crate::http1::Http1Error;
use crate::http1::ResponseHead;

/// Least time that a write to a client has: what is ready is delivered, also when the deadline
/// of its request has just passed.
pub const READY_WRITE_TIME: Duration = Duration::from_secs(1);

/// How a stream, or the part of it from one replica, ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// The complete stream has been sent to the client.
    Complete,
    /// The client closed its connection.
    ClientDisconnected,
    /// The replica's part broke off, for this cause.
    Broken(&'static str),
    /// The deadline of the request has passed.
    TimedOut,
    /// The process ends before a slow client has read on.
    Stopping,
}

impl StreamEnd {
    /// Name of the end in metrics; part of the interface.
    pub fn label(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::ClientDisconnected => "client_left",
            Self::Broken(cause) => cause,
            Self::TimedOut => "timeout",
            Self::Stopping => STOPPING,
        }
    }
}

/// How the end of a stream is marked for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientFraming {
    /// By the last chunk.
    Chunked,
    /// By an orderly end of the connection, for HTTP/1.0 clients, which know no chunks; the
    /// connection is reset after a stream that was broken off.
    UntilClose,
}

/// Events of one replica that follow what the client has.
#[derive(Debug)]
pub struct NextEvents {
    /// Their bytes.
    pub bytes: Vec<u8>,
    /// Whether they hold a piece of the answer, and not only comments.
    pub has_pieces: bool,
    /// Why the part of this replica ends after them, if it does.
    pub fault: Option<&'static str>,
}

/// Relay of a stream of events to one client, from one replica after another.
#[derive(Debug)]
pub struct StreamRelay {
    is_head_sent: bool,
    // Whether the head has said that the connection is closed after the stream.
    says_close: bool,
    last_id: Option<u64>,
    events: u64,
    first_event_at: Option<Instant>,
    client_framing: ClientFraming,
    deadline: Instant,
}

impl StreamRelay {
    /// Relay of a stream that starts after the event `last_id`, or at the beginning.
    pub fn new(last_id: Option<u64>, client_framing: ClientFraming, deadline: Instant) -> Self {
        Self {
            is_head_sent: false,
            says_close: false,
            last_id,
            events: 0,
            first_event_at: None,
            client_framing,
            deadline,
        }
    }

    /// Whether the head of the response has been sent to the client.
    pub fn has_begun(&self) -> bool {
        self.is_head_sent
    }

    /// Whether the client's connection stays open after the stream, as its head has told the
    /// client.
    pub fn connection_reuse(&self) -> ConnectionReuse {
        if self.says_close {
            ConnectionReuse::Close
        } else {
            ConnectionReuse::Keep
        }
    }

    /// Id of the last event that was sent to the client.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether another replica can go on with the stream: from its beginning, or after an event
    /// that has an id.
    pub fn can_go_on(&self) -> bool {
        !self.is_head_sent || self.last_id.is_some()
    }

    /// Number of events sent to the client.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Time at which the first event was sent to the client.
    pub fn first_event_at(&self) -> Option<Instant> {
        self.first_event_at
    }

    /// Takes the events of one replica that follow what the client has; they are then to be
    /// written.
    ///
    /// Events that another replica has sent are skipped; an event that can't follow the last
    /// one ends the part of this replica.
    pub fn take_next(&mut self, events: Vec<StreamEvent>) -> NextEvents {
        let mut next = NextEvents {
            bytes: Vec::new(),
            has_pieces: false,
            fault: None,
        };
        for event in events {
            next.fault = event.fault_after(self.last_id);
            if next.fault.is_some() {
                break;
            }
            match (event.id, self.last_id) {
                (Some(id), Some(last)) if id <= last => continue,
                (Some(id), _) => self.last_id = Some(id),
                (None, _) => {}
            }
            next.has_pieces |= event.id.is_some() || !event.bytes.starts_with(b":");
            next.bytes.extend_from_slice(&event.bytes);
            self.events += 1;
        }
        next
    }

    /// Sends `bytes` of events to the client, after the head of the first replica whose events
    /// come. `close` states whether the client's connection is closed afterwards; a write ends
    /// with `ending`.
    pub async fn write_events(
        &mut self,
        client: &Connection,
        head: &ResponseHead,
        close: bool,
        bytes: &[u8],
        ending: impl Future<Output = ()>,
    ) -> Option<StreamEnd> {
        self.first_event_at.get_or_insert_with(Instant::now);
        let part = self.encode_part(client, head, close, bytes, false);
        self.write_part(client, &part, ending).await
    }

    /// Sends the rest of the stream and its end.
    pub async fn finish(
        &mut self,
        client: &Connection,
        head: &ResponseHead,
        close: bool,
        rest: &[u8],
        ending: impl Future<Output = ()>,
    ) -> StreamEnd {
        let part = self.encode_part(client, head, close, rest, true);
        match self.write_part(client, &part, ending).await {
            Some(end) => end,
            None => {
                if self.client_framing == ClientFraming::UntilClose {
                    client.close_on_drop();
                }
                StreamEnd::Complete
            }
        }
    }

    /// Bytes of `data` on the wire, with the head before the first part and, after the last one,
    /// the end.
    fn encode_part(
        &mut self,
        client: &Connection,
        head: &ResponseHead,
        close: bool,
        data: &[u8],
        is_last: bool,
    ) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(data.len() + 64);
        if !self.is_head_sent {
            bytes = response_head(head, close);
            self.says_close = close;
            match self.client_framing {
                ClientFraming::Chunked => {
                    write_header("Transfer-Encoding", b"chunked", &mut bytes);
                }
                // However the process ends, an orderly end would make the stream complete.
                ClientFraming::UntilClose => client.reset_on_drop(),
            }
            bytes.extend_from_slice(b"\r\n");
            self.is_head_sent = true;
        }
        match self.client_framing {
            ClientFraming::Chunked => append_chunk(data, is_last, &mut bytes),
            ClientFraming::UntilClose => bytes.extend_from_slice(data),
        }
        bytes
    }

    /// Writes a part of the stream; returns how the stream has ended if it can't go on.
    async fn write_part(
        &self,
        client: &Connection,
        bytes: &[u8],
        ending: impl Future<Output = ()>,
    ) -> Option<StreamEnd> {
        let deadline = self.deadline.max(Instant::now() + READY_WRITE_TIME);
        let written = tokio::select! {
            biased;
            written = client.write_with_deadline(bytes, deadline) => written,
            () = ending => return Some(StreamEnd::Stopping),
        };
        match written {
            Ok(()) => None,
            Err(Http1Error::TimedOut) => Some(StreamEnd::TimedOut),
            Err(_) => Some(StreamEnd::ClientDisconnected),
        }
    }
}

/// Appends `data` as one chunk, and the last chunk after the last data.
fn append_chunk(data: &[u8], is_last: bool, out: &mut Vec<u8>) {
    if !data.is_empty() {
        out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        out.extend_from_slice(data);
        out.extend_from_slice(b"\r\n");
    }
    if is_last {
        out.extend_from_slice(b"0\r\n\r\n");
    }
}

/// Head of a response to the client, without the headers of the body's framing and
/// the empty line.
pub fn response_head(head: &ResponseHead, close: bool) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).into_bytes();
    let hop_by_hop = ConnectionOptions::of(&head.headers);
    for (name, value) in head.headers.iter() {
        if !hop_by_hop.contains(name) {
            write_header(name, value, &mut bytes);
        }
    }
    if close {
        write_header("Connection", b"close", &mut bytes);
    }
    bytes
}
