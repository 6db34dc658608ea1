use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::event_splitter::EventSplitter;
use crate::gateway::exchange::EventStream;
use crate::gateway::exchange::is_hop_by_hop_header;
use crate::gateway::exchange::write_header;
use crate::http1::BodyLimit;
use crate::http1::Connection;
use crate::http1::Framing;
use crate::http1::ResponseHead;

/// Bytes of a stream without a whole event from which it makes progress: more than a stalled
/// one sends, and less than a large event brings in the same time over a narrow link.
const MIN_PROGRESS_BYTES: usize = 256;

/// Interval at which the observer of a silent stream is queried whether its replica has
/// failed.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(300);

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
}

impl StreamEnd {
    /// Name of the end in metrics; part of the interface.
    pub fn label(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::ClientDisconnected => "client_left",
            Self::Broken(cause) => cause,
            Self::TimedOut => "timeout",
        }
    }
}

/// Observer of the part of a stream that one replica sends.
pub trait StreamObserver {
    /// Records that events were sent to the client; only the first call has an effect.
    fn record_events_sent(&self);
    /// Whether a replica that has been silent for that long counts as failed.
    fn has_replica_failed(&self, silence: Duration) -> bool;
}

/// What is known of the answer of one replica, or of its part of a stream, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerPart {
    /// How the replica marks the end of the body.
    pub framing: Framing,
    /// Number of bytes received of an event that is not complete.
    pub rest_bytes: usize,
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

/// Relay of a stream of events to one client, from one replica after another.
#[derive(Debug)]
pub struct StreamRelay {
    /// Head for the client, of the replica whose events come first.
    head: Vec<u8>,
    is_head_sent: bool,
    last_id: Option<u64>,
    events: u64,
    first_event_at: Option<Instant>,
    last_part: Option<AnswerPart>,
    client_framing: ClientFraming,
    deadline: Instant,
}

impl StreamRelay {
    /// Relay of a stream that starts after the event `last_id`, or at the beginning.
    pub fn new(last_id: Option<u64>, client_framing: ClientFraming, deadline: Instant) -> Self {
        Self {
            head: Vec::new(),
            is_head_sent: false,
            last_id,
            events: 0,
            first_event_at: None,
            last_part: None,
            client_framing,
            deadline,
        }
    }

    /// Whether the head of the response has been sent to the client.
    pub fn has_begun(&self) -> bool {
        self.is_head_sent
    }

    /// Id of the last event that was sent to the client.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of events sent to the client.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Time at which the first event was sent to the client.
    pub fn first_event_at(&self) -> Option<Instant> {
        self.first_event_at
    }

    /// The part that was received last.
    pub fn last_part(&self) -> Option<AnswerPart> {
        self.last_part
    }

    /// Sends one replica's part of the stream to the client until it ends.
    ///
    /// `observer` is notified of events, and decides whether a silent replica has
    /// failed. `close` states whether the client's connection is closed afterwards.
    pub async fn relay_part(
        &mut self,
        client: &mut Connection,
        stream: Box<EventStream>,
        close: bool,
        observer: &impl StreamObserver,
    ) -> StreamEnd {
        let framing = stream.framing;
        let mut splitter = EventSplitter::default();
        let end = self
            .relay_events(client, stream, &mut splitter, close, observer)
            .await;
        self.last_part = Some(AnswerPart {
            framing,
            rest_bytes: splitter.remainder().len(),
        });
        end
    }

    /// Sends the complete events of one replica to the client until its part ends; what is
    /// left of an incomplete event stays in `splitter`.
    async fn relay_events(
        &mut self,
        client: &mut Connection,
        mut stream: Box<EventStream>,
        splitter: &mut EventSplitter,
        close: bool,
        observer: &impl StreamObserver,
    ) -> StreamEnd {
        if !self.is_head_sent {
            self.head = response_head(&stream.head, close);
            if self.client_framing == ClientFraming::Chunked {
                write_header("Transfer-Encoding", b"chunked", &mut self.head);
            }
            self.head.extend_from_slice(b"\r\n");
        }
        let events_before = self.events;
        let mut last_progress = Instant::now();
        let mut bytes_since_progress = 0;
        loop {
            let decoded = stream
                .decoder
                .decode(&mut stream.connection.read_buffer, splitter.buffer());
            let events = self.events;
            if let Some(end) = self.forward_events(client, splitter).await {
                return end;
            }
            if events < self.events {
                observer.record_events_sent();
            }
            if events < self.events || bytes_since_progress >= MIN_PROGRESS_BYTES {
                last_progress = Instant::now();
                bytes_since_progress = 0;
            }
            if let Err(error) = decoded {
                return StreamEnd::Broken(error.label());
            }
            if stream.decoder.is_done() {
                return self.finish(client, splitter).await;
            }
            if splitter.is_too_large() {
                return StreamEnd::Broken("event_too_large");
            }
            if let Err(error) = stream.held.admit(splitter.remainder().len()) {
                return StreamEnd::Broken(error.label());
            }
            // Also while bytes arrive: a stalled stream may send one now and then.
            if Instant::now() >= self.deadline {
                return StreamEnd::TimedOut;
            }
            if observer.has_replica_failed(last_progress.elapsed()) {
                return StreamEnd::Broken("silent");
            }
            let wait_until = (Instant::now() + SILENCE_CHECK_INTERVAL).min(self.deadline);
            tokio::select! {
                biased;
                read = stream.connection.fill_buffer() => match read {
                    Ok(0) => match stream.decoder.finish_at_close() {
                        // A replica that crashes before its first event ends such a body in
                        // the same way.
                        Ok(()) if self.events == events_before => {
                            return StreamEnd::Broken("no_events");
                        }
                        Ok(()) => return self.finish(client, splitter).await,
                        Err(error) => return StreamEnd::Broken(error.label()),
                    },
                    Ok(received) => bytes_since_progress += received,
                    Err(_) => return StreamEnd::Broken("reset"),
                },
                () = client.wait_closed() => return StreamEnd::ClientDisconnected,
                () = tokio::time::sleep_until(wait_until) => {}
            }
        }
    }

    /// Sends the complete events that have arrived to the client.
    ///
    /// Events that an earlier replica has sent are skipped; an event that can't follow the
    /// last one ends this part, so that the stream is resumed at another replica.
    async fn forward_events(
        &mut self,
        client: &Connection,
        splitter: &mut EventSplitter,
    ) -> Option<StreamEnd> {
        let mut data = Vec::new();
        let mut fault = None;
        while let Some(event) = splitter.next_event() {
            fault = event.fault_after(self.last_id);
            if fault.is_some() {
                break;
            }
            match (event.id, self.last_id) {
                (Some(id), Some(last)) if id <= last => continue,
                (Some(id), _) => self.last_id = Some(id),
                (None, _) => {}
            }
            self.events += 1;
            data.extend_from_slice(&event.bytes);
        }
        if !data.is_empty() {
            self.first_event_at.get_or_insert_with(Instant::now);
            let sent = self.write_part(client, &data, false).await;
            if sent.is_some() {
                return sent;
            }
        }
        fault.map(StreamEnd::Broken)
    }

    /// Sends the rest of the stream and its end, unless the stream ends inside an
    /// event: however its body is framed, it has then been broken off.
    async fn finish(&mut self, client: &Connection, splitter: &EventSplitter) -> StreamEnd {
        if splitter.is_inside_event() {
            return StreamEnd::Broken("inside_event");
        }
        self.write_part(client, splitter.remainder(), true)
            .await
            .unwrap_or(StreamEnd::Complete)
    }

    /// Sends `data`, with the head before the first part and, after the last one, the end.
    async fn write_part(
        &mut self,
        client: &Connection,
        data: &[u8],
        is_last: bool,
    ) -> Option<StreamEnd> {
        let mut bytes = Vec::with_capacity(data.len() + 64);
        if !self.is_head_sent {
            bytes.extend_from_slice(&self.head);
            self.is_head_sent = true;
        }
        match self.client_framing {
            ClientFraming::Chunked => append_chunk(data, is_last, &mut bytes),
            ClientFraming::UntilClose => bytes.extend_from_slice(data),
        }
        match client.write_with_deadline(&bytes, self.deadline).await {
            Ok(()) => None,
            Err(crate::http1::Http1Error::TimedOut) => Some(StreamEnd::TimedOut),
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
    for (name, value) in head.headers.iter() {
        if !is_hop_by_hop_header(name, &head.headers) {
            write_header(name, value, &mut bytes);
        }
    }
    if close {
        write_header("Connection", b"close", &mut bytes);
    }
    bytes
}
