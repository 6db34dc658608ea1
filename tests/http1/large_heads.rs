//! Heads of the largest size: what they take, and the work for them, grow with their bytes.

use bytes::BytesMut;

use bergamotfork::http1::ConnectionOptions;
use bergamotfork::http1::HeadSearch;
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

#[test]
fn connection_options_among_many() {
    let named = (0..1_000).map(|number| format!("Connection: X-{number},Y-{number}"));
    let (head, _) = parse(named);
    let options = ConnectionOptions::of(&head.headers);
    assert!(options.contains("x-0") && options.contains("Y-300"));
    assert!(options.contains("Transfer-Encoding"));
    assert!(!options.contains("X-1001") && !options.contains("Host"));
}

/// Number of times that a head is parsed which arrives in parts of `part_bytes`.
fn parses(text: &str, part_bytes: usize) -> usize {
    let mut search = HeadSearch::default();
    let mut parses = 0;
    for end in (0..text.len() + part_bytes).step_by(part_bytes) {
        let arrived = &text.as_bytes()[..end.min(text.len())];
        parses += usize::from(search.is_due(arrived, MAX_HEAD_BYTES));
    }
    assert!(search.is_due(&vec![b'a'; MAX_HEAD_BYTES + 1], MAX_HEAD_BYTES));
    parses
}

#[test]
fn head_in_single_bytes_parsed_seldom() {
    let text = format!("GET / HTTP/1.1\r\n{}\r\n", "a:b\r\n".repeat(3_000));
    assert!(parses(&text, 1) <= 20);
}

#[test]
fn head_end_found_at_any_split() {
    let text = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(2_000));
    for end in ["\r\n\r\n", "\n\n", "\n\r\n"] {
        let text = text.trim_end().to_owned() + end;
        for split in text.len() - 5..text.len() {
            let mut search = HeadSearch::default();
            search.is_due(&text.as_bytes()[..split], MAX_HEAD_BYTES);
            assert!(search.is_due(text.as_bytes(), MAX_HEAD_BYTES), "{split}");
        }
    }
}
