/// Longest line that is accepted, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Splits arriving bytes into lines, bounded in memory.
#[derive(Debug, Default)]
pub struct LineBuffer {
    bytes: Vec<u8>,
    start: usize,
}

impl LineBuffer {
    /// Appends arrived bytes; false when a line is longer than allowed.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.bytes.drain(..self.start);
        self.start = 0;
        self.bytes.extend_from_slice(bytes);
        let partial_bytes = match self.bytes.iter().rposition(|&byte| byte == b'\n') {
            Some(newline) => self.bytes.len() - newline - 1,
            None => self.bytes.len(),
        };
        partial_bytes <= MAX_LINE_BYTES
    }

    /// The next whole line, without its newline.
    pub fn next_line(&mut self) -> Option<&[u8]> {
        let unread = &self.bytes[self.start..];
        let length = unread.iter().position(|&byte| byte == b'\n')?;
        let line_start = self.start;
        self.start += length + 1;
        Some(&self.bytes[line_start..line_start + length])
    }

    /// Whether bytes of an partial_bytes line are left.
    pub fn has_partial_line(&self) -> bool {
        self.start < self.bytes.len()
    }
}
