//! Heads of the largest size: what they take grows with their bytes.

use bytes::BytesMut;

use bergamotfork::http1::RequestHead;

const MAX_HEAD_BYTES: usize = 16_384;

/// Parses a head of the largest size with these lines; returns it with its size.
fn parse(lines: impl Iterator<Item = String>) -> (RequestHead, usize) {
    let mut text = "GET / HTTP/1.1\r\n".to_owned();
    for line in lines {
        if text.len() + line.len() + 4 > MAX_HEAD_BYTES {
            break;
        }
        text.push_str(&line);
        text.push_str("\r\n");
    }
    text.push_str("\r\n");
    let head = RequestHead::parse_from(&mut BytesMut::from(text.as_str()), MAX_HEAD_BYTES);
    let head = head.expect("a valid head").expect("a whole head");
    (head, text.len())
}

#[test]
fn short_lines_take_no_more_than_arrived() {
    let (head, bytes) = parse(std::iter::repeat("a:b".to_owned()));
    assert!(head.headers.iter().count() > 3_000);
    assert!(head.headers.held_bytes() <= bytes);
}

#[test]
fn lines_keep_order_and_values() {
    let (head, _) = parse((0..100).map(|line| format!("X-{}: v:{line}, w", line % 3)));
    let lines: Vec<(&str, &[u8])> = head.headers.iter().collect();
    assert_eq!(lines[4], ("X-1", b"v:4, w".as_slice()));
    assert_eq!(head.headers.values("x-2").count(), 33);
    assert_eq!(head.headers.first_text("x-2"), Some("v:2, w"));
    assert!(head.headers.has_token("X-0", "V:99"));
    assert!(!head.headers.has_token("X-0", "v:98"));
}
