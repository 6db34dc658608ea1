/// Largest event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One complete server-sent event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Id of the event, if it has a numeric one.
    pub id: Option<u64>,
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Vec<u8>,
}

/// Splits the bytes of a stream into complete events.
///
/// Only complete events are sent to the client, so that a stream that breaks off
/// within an event can be resumed at another replica.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    // Bytes of the buffer that hold no end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Buffer to which the received bytes are appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffer
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_event_end()?;
        let bytes: Vec<u8> = self.buffer.drain(..end).collect();
        self.scanned = 0;
        Some(StreamEvent {
            id: parse_event_id(&bytes),
            bytes,
        })
    }

    /// Whether the incomplete event exceeds the largest size of an event.
    pub fn is_too_large(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Bytes of the incomplete event.
    pub fn remainder(&self) -> &[u8] {
        &self.buffer
    }

    /// Length of the first complete event; lines end with LF or CRLF.
    fn find_event_end(&mut self) -> Option<usize> {
        let mut at = self.scanned;
        while let Some(offset) = self.buffer[at..].iter().position(|byte| *byte == b'\n') {
            let line_end = at + offset;
            let rest = &self.buffer[line_end + 1..];
            if rest.starts_with(b"\n") {
                return Some(line_end + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(line_end + 3);
            }
            if rest.len() < 2 {
                self.scanned = line_end;
                return None;
            }
            at = line_end + 1;
        }
        self.scanned = at;
        None
    }
}

/// Value of the first `id:` line, if it is a number.
fn parse_event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|text| text.trim().parse().ok())
}
