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

impl StreamEvent {
    /// Why the event can't follow the event `last_id`; None if it can.
    ///
    /// Bytes that are no events may hold blank lines too, and all events of a stream have
    /// an id if one has.
    pub fn fault_after(&self, last_id: Option<u64>) -> Option<&'static str> {
        if std::str::from_utf8(&self.bytes).is_err() {
            return Some("malformed");
        }
        match (self.id, last_id) {
            (Some(id), Some(last)) if id > last.saturating_add(1) => Some("event_gap"),
            (None, Some(_)) if self.has_data() => Some("event_without_id"),
            _ => None,
        }
    }

    /// Whether the event has a piece of the answer, and is not only a comment or a setting.
    fn has_data(&self) -> bool {
        self.bytes
            .split(|byte| is_line_end(*byte))
            .any(|line| line.starts_with(b"data"))
    }
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

    /// Whether a stream that ends after the events taken so far ends inside another one.
    ///
    /// Comments and blank lines between events belong to none.
    pub fn is_inside_event(&self) -> bool {
        let rest = self.buffer.as_slice();
        // A line that CR LF ends was cut between the two.
        if rest.ends_with(b"\n\r") {
            return true;
        }
        let mut lines: Vec<&[u8]> = rest.split(|byte| is_line_end(*byte)).collect();
        let unfinished_line = lines.pop().unwrap_or_default();
        let has_field = lines
            .iter()
            .any(|line| !line.is_empty() && !line.starts_with(b":"));
        !unfinished_line.is_empty() || has_field
    }

    /// Length of the first complete event; lines end with LF, CR LF or CR.
    fn find_event_end(&mut self) -> Option<usize> {
        let mut at = self.scanned;
        while let Some(offset) = self.buffer[at..].iter().position(|b| is_line_end(*b)) {
            let line_end = at + offset;
            let next_line = match &self.buffer[line_end..] {
                [b'\r', b'\n', ..] => line_end + 2,
                [b'\r'] => return self.scan_again_from(line_end),
                _ => line_end + 1,
            };
            match (&self.buffer[line_end..next_line], &self.buffer[next_line..]) {
                (_, [b'\n', ..]) | (b"\r", [b'\r', ..]) => return Some(next_line + 1),
                (_, [b'\r', b'\n', ..]) => return Some(next_line + 2),
                (_, [] | [b'\r']) => return self.scan_again_from(line_end),
                _ => at = next_line,
            }
        }
        self.scan_again_from(self.buffer.len())
    }

    /// Records that no event ends before the line end at `index`, or before the end.
    fn scan_again_from(&mut self, index: usize) -> Option<usize> {
        self.scanned = index;
        None
    }
}

/// Whether a byte ends a line or is a part of such an end.
fn is_line_end(byte: u8) -> bool {
    byte == b'\n' || byte == b'\r'
}

/// Value of the first `id:` line, if it is a number.
fn parse_event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| is_line_end(*byte))
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|text| text.trim().parse().ok())
}
