//! Streams are cut into whole events.

use bergamotfork::gateway::EventSplitter;
use bergamotfork::gateway::StreamEvent;

fn split(parts: &[&str]) -> (Vec<StreamEvent>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for part in parts {
        splitter.buffer().extend_from_slice(part.as_bytes());
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    (events, splitter.take_rest())
}

#[test]
fn next_event_whole_events_with_ids() {
    let (events, rest) = split(&["id: 1\ndata: a\n\nid:2\ndata: b\n\n"]);
    let ids: Vec<Option<u64>> = events.iter().map(|event| event.id).collect();
    assert_eq!(ids, [Some(1), Some(2)]);
    assert_eq!(events[0].bytes, b"id: 1\ndata: a\n\n");
    assert!(rest.is_empty());
}

#[test]
fn next_event_any_split_gives_the_same() {
    let text = "bergamot: 2\nid: 7\r\ndata: x\r\n\r\nid: 8\ndata: y\n\nid: 9\ndata";
    let whole = split(&[text]);
    for at in 1..text.len() {
        let (front, back) = text.split_at(at);
        assert_eq!(split(&[front, back]), whole, "split at {at}");
    }
    let bytes: Vec<&str> = (0..text.len()).map(|at| &text[at..=at]).collect();
    assert_eq!(split(&bytes), whole);
}

#[test]
fn take_rest_holds_the_broken_event() {
    let (events, rest) = split(&["id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert_eq!(rest, b"id: 2\nda");
}
