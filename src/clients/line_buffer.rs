/// Longest accepted line, in bytes; bounds the memory of a stream.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Splits bytes into lines as they arrive.
#[derive(Debug, Default)]
pub struct LineBuffer {
    /// Bytes received and not yet discarded.
    bytes: Vec<u8>,
    /// Index of the first byte that `next_line` has not returned.
    start: usize,
}

impl LineBuffer {
    /// Appends received bytes; returns false when the last, incomplete line is too long.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.bytes.drain(..self.start);
        self.start = 0;
        self.bytes.extend_from_slice(bytes);
        let partial_line_bytes = match self.bytes.iter().rposition(|&byte| byte == b'\n') {
            Some(newline) => self.bytes.len() - newline - 1,
            None => self.bytes.len(),
        };
        partial_line_bytes <= MAX_LINE_BYTES
    }

    /// Takes the next complete line, without its newline.
    pub fn next_line(&mut self) -> Option<&[u8]> {
        let unread = &self.bytes[self.start..];
        let length = unread.iter().position(|&byte| byte == b'\n')?;
        let line_start = self.start;
        self.start += length + 1;
        Some(&self.bytes[line_start..line_start + length])
    }

    /// Whether bytes are left that `next_line` has not returned.
    pub fn has_partial_line(&self) -> bool {
        self.start < self.bytes.len()
    }
}
