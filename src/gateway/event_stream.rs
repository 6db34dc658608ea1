use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use tokio::time::Instant;

use crate::calls::PortSign;
use crate::gateway::answer_memory::HeldAnswer;
use crate::gateway::event_splitter::EventSplitter;
use crate::gateway::event_splitter::StreamEvent;
use crate::gateway::port_probe::probe_at_close;
use crate::http1::BodyDecoder;
use crate::http1::BodyLimit;
use crate::http1::Connection;
use crate::http1::Framing;
use crate::http1::ResponseHead;

/// Bytes of a stream without a whole event from which it makes progress: more than a stalled
/// one sends, and less than a large event brings in the same time over a narrow link.
const MIN_PROGRESS_BYTES: usize = 256;

/// What comes next of one replica's part of a stream.
#[derive(Debug)]
pub enum StreamPart {
    /// Complete events.
    Events(Vec<StreamEvent>),
    /// The end of a stream that ends after a whole event.
    End,
    /// The end of the connection after a whole event of a stream that has no other end, with what
    /// the port of the replica has shown since.
    EndAtClose(PortSign),
    /// The part broke off, for this cause.
    Broken(&'static str),
}

/// What is known of the answer of one replica, or of its part of a stream, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerPart {
    /// How the replica marks the end of the body.
    pub framing: Framing,
    /// Number of bytes received of an event that is not complete.
    pub rest_bytes: usize,
}

/// A response of a replica that is a stream of events, of which the head was read.
#[derive(Debug)]
pub struct EventStream {
    /// Status and headers.
    pub head: ResponseHead,
    connection: Connection,
    framing: Framing,
    decoder: BodyDecoder,
    // Room for the event that is not complete.
    held: HeldAnswer,
    splitter: EventSplitter,
    // Why the framing of the body is invalid.
    fault: Option<&'static str>,
    is_forwarded: bool,
    last_progress: Instant,
    bytes_since_progress: usize,
    // Address of the replica, and time at which the stream is due.
    source: (SocketAddr, Instant),
    // Checks the port of the replica after the end of the connection.
    port_probe: Option<JoinHandle<PortSign>>,
}

impl EventStream {
    /// The stream whose head is `head`, and whose body follows on `connection`; `source` is the
    /// address of its replica and the time at which its end is due.
    pub fn new(
        head: ResponseHead,
        connection: Connection,
        framing: Framing,
        held: HeldAnswer,
        source: (SocketAddr, Instant),
    ) -> Self {
        Self {
            head,
            connection,
            framing,
            decoder: BodyDecoder::new(framing),
            held,
            splitter: EventSplitter::default(),
            fault: None,
            is_forwarded: false,
            last_progress: Instant::now(),
            bytes_since_progress: 0,
            source,
            port_probe: None,
        }
    }

    /// Time since the last progress: a whole event, or bytes of a large one.
    pub fn silence(&self) -> Duration {
        self.last_progress.elapsed()
    }

    /// Records that events of this part were sent to the client.
    pub fn record_forwarded(&mut self) {
        self.is_forwarded = true;
    }

    /// What was received of the event that is not complete.
    pub fn remainder(&self) -> &[u8] {
        self.splitter.remainder()
    }

    /// What is known of this part, for logs.
    pub fn part(&self) -> AnswerPart {
        AnswerPart {
            framing: self.framing,
            rest_bytes: self.remainder().len(),
        }
    }

    /// Waits for what comes next; nothing is lost when the wait is dropped.
    pub async fn next_part(&mut self) -> StreamPart {
        loop {
            self.decode();
            let events: Vec<StreamEvent> =
                std::iter::from_fn(|| self.splitter.next_event()).collect();
            if !events.is_empty() || self.bytes_since_progress >= MIN_PROGRESS_BYTES {
                self.last_progress = Instant::now();
                self.bytes_since_progress = 0;
            }
            if !events.is_empty() {
                return StreamPart::Events(events);
            }
            if let Some(cause) = self.fault {
                return StreamPart::Broken(cause);
            }
            if self.decoder.is_done() {
                return self.end();
            }
            if self.splitter.is_too_large() {
                return StreamPart::Broken("event_too_large");
            }
            if let Err(error) = self.held.admit(self.splitter.remainder().len()) {
                return StreamPart::Broken(error.label());
            }
            match self.connection.fill_buffer().await {
                Ok(0) => return self.end_at_close().await,
                Ok(received) => self.bytes_since_progress += received,
                Err(_) => return StreamPart::Broken("reset"),
            }
        }
    }

    /// Takes the received bytes out of the framing of the body.
    fn decode(&mut self) {
        if self.fault.is_some() || self.decoder.is_done() {
            return;
        }
        let decoded = self
            .decoder
            .decode(&mut self.connection.read_buffer, self.splitter.buffer());
        self.fault = decoded.err().map(|error| error.label());
    }

    /// The end of the body. However it is framed, a stream that ends inside an event was
    /// broken off.
    fn end(&self) -> StreamPart {
        if self.splitter.is_inside_event() {
            StreamPart::Broken("inside_event")
        } else {
            StreamPart::End
        }
    }

    /// The end of the connection; the decoder stays as it is until the wait is over, which may
    /// be dropped.
    async fn end_at_close(&mut self) -> StreamPart {
        let (address, deadline) = self.source;
        if self.framing != Framing::UntilClose {
            return match self.decoder.finish_at_close() {
                Ok(()) => self.end(),
                Err(error) => StreamPart::Broken(error.label()),
            };
        }
        // A replica that crashes before its first event ends such a body in the same way.
        if !self.is_forwarded {
            return StreamPart::Broken("no_events");
        }
        if self.splitter.is_inside_event() {
            return self.end();
        }
        let probe = self
            .port_probe
            .get_or_insert_with(|| actix_rt::spawn(probe_at_close(address, deadline)));
        StreamPart::EndAtClose(probe.await.unwrap_or(PortSign::Unknown))
    }
}
