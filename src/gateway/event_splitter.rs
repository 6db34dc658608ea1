use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// Largest event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Byte order mark, which may come before the first event.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Fields of an event that every client knows.
const KNOWN_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// One complete server-sent event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Id of the event, if it has a numeric one.
    pub id: Option<u64>,
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Vec<u8>,
    /// Why the event can't follow those of the same replica.
    sequence_fault: Option<&'static str>,
}

impl StreamEvent {
    /// Why the event can't follow the event `last_id`; None if it can.
    ///
    /// Bytes that are no events, such as an error text or the head of a response, may hold
    /// blank lines too. All events of a stream have an id if one has.
    pub fn fault_after(&self, last_id: Option<u64>) -> Option<&'static str> {
        if !self.is_well_formed() {
            return Some("malformed");
        }
        if self.sequence_fault.is_some() {
            return self.sequence_fault;
        }
        match (self.id, last_id) {
            (Some(id), Some(last)) if id > last.saturating_add(1) => Some("event_gap"),
            (None, Some(_)) if self.is_part_of_answer() => Some("event_without_id"),
            _ => None,
        }
    }

    /// Whether every line is a comment or a field. Fields that clients don't know come with
    /// a piece of the answer only.
    fn is_well_formed(&self) -> bool {
        let mut lines = lines(&self.bytes);
        let is_line_allowed = if self.is_part_of_answer() {
            is_comment_or_field
        } else {
            is_comment_or_known_field
        };
        std::str::from_utf8(&self.bytes).is_ok() && lines.all(is_line_allowed)
    }

    /// Whether the event has a piece of the answer, and is not only a comment or a setting.
    fn is_part_of_answer(&self) -> bool {
        lines(&self.bytes).any(|line| matches!(field_name(line), b"data" | b"id"))
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
    // Whether bytes have arrived that are no byte order mark.
    has_begun: bool,
    // Id of the last event that has one, and the hash of its bytes.
    last_event: Option<(u64, u64)>,
}

impl EventSplitter {
    /// Buffer to which the received bytes are appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffer
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        self.skip_byte_order_mark();
        let end = self.find_event_end()?;
        let bytes: Vec<u8> = self.buffer.drain(..end).collect();
        self.scanned = 0;
        let id = parse_event_id(&bytes);
        Some(StreamEvent {
            id,
            sequence_fault: id.and_then(|id| self.sequence_fault(id, &bytes)),
            bytes,
        })
    }

    /// Removes a byte order mark at the start. The events of a replica that resumes a stream
    /// come after others, where a mark would be a part of a line.
    fn skip_byte_order_mark(&mut self) {
        let is_mark_cut =
            self.buffer.len() < BYTE_ORDER_MARK.len() && BYTE_ORDER_MARK.starts_with(&self.buffer);
        if self.has_begun || is_mark_cut {
            return;
        }
        if self.buffer.starts_with(BYTE_ORDER_MARK) {
            self.buffer.drain(..BYTE_ORDER_MARK.len());
            self.scanned = 0;
        }
        self.has_begun = true;
    }

    /// Why an event can't follow the one before it: ids rise by one, and an event that comes
    /// twice is the same.
    fn sequence_fault(&mut self, id: u64, bytes: &[u8]) -> Option<&'static str> {
        let mut hasher = DefaultHasher::new();
        bytes.hash(&mut hasher);
        let hash = hasher.finish();
        match self.last_event.replace((id, hash)) {
            Some((last_id, _)) if id < last_id => Some("event_order"),
            Some((last_id, last_hash)) if id == last_id && hash != last_hash => {
                Some("event_changed")
            }
            Some((last_id, _)) if id > last_id.saturating_add(1) => Some("event_gap"),
            _ => None,
        }
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
        if rest.ends_with(b"\n\r") || std::str::from_utf8(rest).is_err() {
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

/// Lines without their ends; some of those between CR and LF, and at the end, are empty.
fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    event.split(|byte| is_line_end(*byte))
}

/// What comes before the colon of a line, or the whole line without one.
fn field_name(line: &[u8]) -> &[u8] {
    line.split(|byte| *byte == b':').next().unwrap_or_default()
}

/// Whether a line is blank, a comment, or a known field with or without a value.
fn is_comment_or_known_field(line: &[u8]) -> bool {
    let name = field_name(line);
    name.is_empty() || KNOWN_FIELDS.contains(&name)
}

/// Whether a line may stand in an event: that is also one with a value whose name looks like
/// those of the known fields.
fn is_comment_or_field(line: &[u8]) -> bool {
    let name = field_name(line);
    let is_like_known = || {
        let mut bytes = name.iter();
        name.len() < line.len()
            && bytes.next().is_some_and(u8::is_ascii_lowercase)
            && bytes.all(|byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_'))
    };
    is_comment_or_known_field(line) || is_like_known()
}

/// Value of the last `id` field, which is the one that counts, if it is a number.
fn parse_event_id(event: &[u8]) -> Option<u64> {
    let line = lines(event)
        .filter(|line| field_name(line) == b"id")
        .last()?;
    let value = std::str::from_utf8(line).ok()?.strip_prefix("id:")?;
    value.trim().parse().ok()
}
