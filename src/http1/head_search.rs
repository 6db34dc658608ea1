use memchr::memchr_iter;

/// Bytes of the longest end of a head: the end of its last line and an empty line.
const END_BYTES: usize = 3;

/// Decides when a head that is arriving is parsed.
///
/// Load: heads that arrive in small parts. Each parse reads the head from its start, so it is
/// parsed only once it may have ended, and after its size has doubled, which finds bytes that
/// are no head before the head times out. The work grows with the bytes.
#[derive(Debug, Default)]
pub struct HeadSearch {
    searched_bytes: usize,
    parsed_bytes: usize,
}

impl HeadSearch {
    /// Whether `buffer`, which holds the bytes of the last call and those that have arrived
    /// since, is to be parsed; more than `max_bytes` are.
    pub fn is_due(&mut self, buffer: &[u8], max_bytes: usize) -> bool {
        // The end may have begun among the bytes that were searched.
        let from = self.searched_bytes.saturating_sub(END_BYTES - 1);
        self.searched_bytes = buffer.len();
        let is_due = buffer.len() > max_bytes
            || buffer.len() >= 2 * self.parsed_bytes
            || has_empty_line(&buffer[from..]);
        if is_due {
            self.parsed_bytes = buffer.len();
        }
        is_due
    }
}

/// Whether an end of a line is followed by an empty line.
fn has_empty_line(bytes: &[u8]) -> bool {
    memchr_iter(b'\n', bytes).any(|at| {
        let rest = &bytes[at + 1..];
        rest.starts_with(b"\n") || rest.starts_with(b"\r\n")
    })
}
