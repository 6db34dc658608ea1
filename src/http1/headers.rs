//! Header lines of a message, in as many bytes as they arrived in.
//!
//! Load: heads of the largest size that consist of the shortest lines. All lines share one
//! buffer, as an allocation for each name and value would take many times their size.

use memchr::memchr;

/// Header lines in the order of arrival; names are compared without case.
#[derive(Debug, Clone, Default)]
pub struct Headers {
    // Each line as its name, a colon, its value and a line feed, which neither of them contains.
    lines: Box<[u8]>,
}

impl Headers {
    /// First value of header `name`, trimmed; `None` also when it is not UTF-8.
    pub fn first_text(&self, name: &str) -> Option<&str> {
        let mut lines = Lines { rest: &self.lines };
        let line = lines.find(|line| line.0.eq_ignore_ascii_case(name.as_bytes()))?;
        std::str::from_utf8(line.1).ok().map(str::trim)
    }

    /// All values of header `name`, in order.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let lines = Lines { rest: &self.lines };
        lines
            .filter(move |line| line.0.eq_ignore_ascii_case(name.as_bytes()))
            .map(|line| line.1)
    }

    /// All header lines, as name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let lines = Lines { rest: &self.lines };
        lines.map(|(name, value)| (std::str::from_utf8(name).unwrap_or_default(), value))
    }

    /// Whether header `name`, a comma-separated list, contains `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.tokens(name)
            .any(|part| part.eq_ignore_ascii_case(token))
    }

    /// Members of header `name`, a comma-separated list, in order.
    pub fn tokens<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.values(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .map(str::trim)
    }

    /// Bytes that the lines take.
    pub fn held_bytes(&self) -> usize {
        self.lines.len()
    }

    /// Copies the lines of a head that was parsed.
    pub(super) fn from_httparse(parsed: &[httparse::Header<'_>]) -> Self {
        let sizes = parsed.iter().map(|line| line.name.len() + line.value.len());
        let mut lines = Vec::with_capacity(sizes.sum::<usize>() + 2 * parsed.len());
        for line in parsed {
            lines.extend_from_slice(line.name.as_bytes());
            lines.push(b':');
            lines.extend_from_slice(line.value);
            lines.push(b'\n');
        }
        Self {
            lines: lines.into_boxed_slice(),
        }
    }
}

/// Iterates over the lines as names and values.
struct Lines<'a> {
    rest: &'a [u8],
}

impl<'a> Iterator for Lines<'a> {
    type Item = (&'a [u8], &'a [u8]);

    fn next(&mut self) -> Option<Self::Item> {
        let name_end = memchr(b':', self.rest)?;
        let (name, rest) = self.rest.split_at(name_end);
        let value_end = memchr(b'\n', rest)?;
        self.rest = &rest[value_end + 1..];
        Some((name, &rest[1..value_end]))
    }
}
