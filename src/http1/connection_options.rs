use std::cmp::Ordering;

use crate::http1::Headers;

/// Headers that apply to one connection only, or that each sender sets itself because they
/// describe the framing of the body.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// Headers of a message that apply only to the connection on which it was received.
///
/// Load: a head whose `Connection` names thousands of headers beside thousands of lines.
#[derive(Debug)]
pub struct ConnectionOptions<'a> {
    // Ascending without regard to case.
    named: Vec<&'a str>,
}

impl<'a> ConnectionOptions<'a> {
    /// Reads what `Connection` names.
    pub fn of(headers: &'a Headers) -> Self {
        let mut named: Vec<&str> = headers.tokens("connection").collect();
        named.sort_unstable_by(|one, other| compare_names(one, other));
        Self { named }
    }

    /// Whether header `name` is not passed on.
    pub fn contains(&self, name: &str) -> bool {
        let mut listed = HOP_BY_HOP_HEADERS.iter();
        listed.any(|header| header.eq_ignore_ascii_case(name))
            || self
                .named
                .binary_search_by(|named| compare_names(named, name))
                .is_ok()
    }
}

/// Order of two names without regard to case.
fn compare_names(one: &str, other: &str) -> Ordering {
    let one = one.bytes().map(|byte| byte.to_ascii_lowercase());
    one.cmp(other.bytes().map(|byte| byte.to_ascii_lowercase()))
}
