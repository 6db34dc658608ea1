//! Heads, framing and bodies of HTTP/1.1 messages. Ambiguous messages must be rejected,
//! as they could be used to smuggle requests.

mod budget;
mod client;
mod large_heads;

use bytes::BytesMut;

use bergamotfork::http1::BodyDecoder;
use bergamotfork::http1::Framing;
use bergamotfork::http1::Http1Error;
use bergamotfork::http1::RequestHead;
use bergamotfork::http1::ResponseHead;

const MAX_HEAD_BYTES: usize = 1_024;

/// Parses the head of a request.
fn parse_request(text: &str) -> Result<Option<RequestHead>, Http1Error> {
    RequestHead::parse_from(&mut BytesMut::from(text), MAX_HEAD_BYTES)
}

/// Framing of a request with these header lines.
fn framing(lines: &str) -> Result<Framing, Http1Error> {
    let text = format!("POST /a/b HTTP/1.1\r\nHost: h\r\n{lines}\r\n");
    parse_request(&text)
        .expect("the head parses")
        .expect("the head is complete")
        .framing()
}

/// Decodes a body that arrives in `parts`; returns it, and whether it is complete.
fn decode(framing: Framing, parts: &[&str]) -> Result<(Vec<u8>, bool), Http1Error> {
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    for part in parts {
        decoder.decode(&mut BytesMut::from(*part), &mut body)?;
    }
    Ok((body, decoder.is_done()))
}

#[test]
fn request_head_incomplete() {
    assert!(
        parse_request("GET / HTTP/1.1\r\nHost: h\r\n")
            .unwrap()
            .is_none()
    );
}

#[test]
fn request_head_keeps_following_bytes() {
    let mut read_buffer = BytesMut::from("GET /x?y=1 HTTP/1.1\r\nHost: h\r\n\r\nGET /z");
    let head = RequestHead::parse_from(&mut read_buffer, MAX_HEAD_BYTES)
        .unwrap()
        .unwrap();
    assert_eq!((head.path(), head.query()), ("/x", "y=1"));
    assert_eq!(&read_buffer[..], b"GET /z");
}

#[test]
fn request_head_too_large() {
    let complete = format!(
        "GET / HTTP/1.1\r\nX: {}\r\n\r\n",
        "a".repeat(MAX_HEAD_BYTES)
    );
    assert!(matches!(
        parse_request(&complete),
        Err(Http1Error::HeadTooLarge)
    ));
    let incomplete = format!("GET / HTTP/1.1\r\nX: {}", "a".repeat(MAX_HEAD_BYTES));
    assert!(matches!(
        parse_request(&incomplete),
        Err(Http1Error::HeadTooLarge)
    ));
}

/// Guards against a refusal of heads with many short lines that are within the limit of bytes.
#[test]
fn request_head_many_lines() {
    let lines: String = (0..120).map(|number| format!("x{number}:y\r\n")).collect();
    let head = parse_request(&format!("GET / HTTP/1.1\r\n{lines}\r\n"));
    let head = head.expect("a valid head").expect("a complete head");
    assert_eq!(head.headers.values("x119").count(), 1);
}

#[test]
fn request_head_folded_line() {
    let head = "GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n";
    assert!(matches!(parse_request(head), Err(Http1Error::Malformed(_))));
}

#[test]
fn request_head_space_before_colon() {
    let head = "GET / HTTP/1.1\r\nHost: h\r\nContent-Length : 4\r\n\r\n";
    assert!(matches!(parse_request(head), Err(Http1Error::Malformed(_))));
}

#[test]
fn framing_valid() {
    assert_eq!(framing("").unwrap(), Framing::None);
    assert_eq!(
        framing("Content-Length: 5\r\n").unwrap(),
        Framing::Length(5)
    );
    assert_eq!(
        framing("Transfer-Encoding: chunked\r\n").unwrap(),
        Framing::Chunked
    );
}

#[test]
fn framing_ambiguous() {
    for lines in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: +5\r\n",
        "Content-Length: 5, 5\r\n",
        "Content-Length: \r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    ] {
        assert!(
            matches!(framing(lines), Err(Http1Error::Malformed(_))),
            "{lines:?} was accepted"
        );
    }
}

/// Framing of the response to a GET request with this status line and header lines.
fn response_framing(status_line: &str, lines: &str) -> Result<Framing, Http1Error> {
    let mut read_buffer = BytesMut::from(format!("{status_line}\r\n{lines}\r\n").as_str());
    ResponseHead::parse_from(&mut read_buffer, MAX_HEAD_BYTES)?
        .expect("the head is complete")
        .framing("GET")
}

#[test]
fn response_framing_each_kind() {
    let ok = "HTTP/1.1 200 OK";
    let chunked = "Transfer-Encoding: chunked\r\n";
    for (status_line, lines, expected) in [
        (ok, "Content-Length: 0\r\n", Framing::Length(0)),
        (ok, "Content-Length: 7\r\n", Framing::Length(7)),
        (ok, chunked, Framing::Chunked),
        (ok, "", Framing::UntilClose),
        ("HTTP/1.0 200 OK", "", Framing::UntilClose),
        ("HTTP/1.1 204 .", "", Framing::None),
        ("HTTP/1.1 304 .", "Content-Length: 7\r\n", Framing::None),
    ] {
        let framing = response_framing(status_line, lines).unwrap();
        assert_eq!(framing, expected, "{status_line} {lines}");
    }
}

/// Guards against chunks of a peer that knows none: another process before it may have
/// taken the end of the connection for the end of the body.
#[test]
fn response_framing_chunks_of_http10() {
    let framing = response_framing("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n");
    assert!(matches!(framing, Err(Http1Error::Malformed(_))));
}

#[test]
fn decode_length_in_parts() {
    let (body, done) = decode(Framing::Length(5), &["ab", "cde"]).unwrap();
    assert_eq!((body.as_slice(), done), (b"abcde".as_slice(), true));
}

#[test]
fn decode_chunks_with_trailer() {
    let text = "3;x=1\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n";
    let (body, done) = decode(Framing::Chunked, &[text]).unwrap();
    assert_eq!((body.as_slice(), done), (b"abcde".as_slice(), true));
}

#[test]
fn decode_trailer_too_long() {
    let line = format!("T: {}\r\n", "t".repeat(100));
    let text = format!("0\r\n{}\r\n", line.repeat(10));
    assert!(decode(Framing::Chunked, &[&text]).unwrap().1);
    let text = format!("0\r\n{}", line.repeat(100));
    assert!(matches!(
        decode(Framing::Chunked, &[&text]),
        Err(Http1Error::Malformed(_))
    ));
}

#[test]
fn decode_malformed_chunks() {
    for text in ["\r\n", "xyz\r\n", "-1\r\n", "3\r\nabcd\r\n", "3\nabc\r\n"] {
        assert!(
            decode(Framing::Chunked, &[text]).is_err(),
            "{text:?} was accepted"
        );
    }
}

#[test]
fn decode_keeps_following_bytes() {
    let mut read_buffer = BytesMut::from("abcHTTP/1.1 200 OK");
    let mut body = Vec::new();
    let mut decoder = BodyDecoder::new(Framing::Length(3));
    decoder.decode(&mut read_buffer, &mut body).unwrap();
    assert!(decoder.is_done());
    assert_eq!(&read_buffer[..], b"HTTP/1.1 200 OK");
}

#[test]
fn finish_at_close_complete_or_not() {
    assert!(
        BodyDecoder::new(Framing::UntilClose)
            .finish_at_close()
            .is_ok()
    );
    assert!(
        BodyDecoder::new(Framing::Length(1))
            .finish_at_close()
            .is_err()
    );
    assert!(
        BodyDecoder::new(Framing::Chunked)
            .finish_at_close()
            .is_err()
    );
}

#[test]
fn response_framing_without_length() {
    let text = "HTTP/1.1 200 OK\r\nX: y\r\n\r\n";
    let head = ResponseHead::parse_from(&mut BytesMut::from(text), MAX_HEAD_BYTES)
        .unwrap()
        .unwrap();
    assert_eq!(head.framing("GET").unwrap(), Framing::UntilClose);
    assert_eq!(head.framing("HEAD").unwrap(), Framing::None);
}
