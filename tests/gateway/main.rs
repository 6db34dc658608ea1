//! The parts of the gateway that need no network: splitting a stream into events,
//! applying records of the store, and encoding replies with records.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bergamotfork::fleet::EntryHeartbeat;
use bergamotfork::fleet::PeerTable;
use bergamotfork::fleet::RecordVersion;
use bergamotfork::fleet::ReplicaRecord;
use bergamotfork::fleet::ReplicaState;
use bergamotfork::fleet::Topic;
use bergamotfork::fleet::TopicRecord;
use bergamotfork::fleet::TopicTable;
use bergamotfork::gateway::EventSplitter;
use bergamotfork::gateway::GatewaySettings;
use bergamotfork::gateway::GatewayState;
use bergamotfork::gateway::InvalidRecord;
use bergamotfork::gateway::OperatorRecord;
use bergamotfork::gateway::RecordDecoder;
use bergamotfork::gateway::RecordsReply;
use bergamotfork::gateway::RecordsReplyError;
use bergamotfork::gateway::SourceError;
use bergamotfork::gateway::StreamEvent;
use bergamotfork::gateway::TopicSink;

fn split(parts: &[&str]) -> (Vec<StreamEvent>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for part in parts {
        splitter.buffer().extend_from_slice(part.as_bytes());
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    (events, splitter.remainder().to_vec())
}

#[test]
fn next_event_complete_events_with_ids() {
    let (events, remainder) = split(&["id: 1\ndata: a\n\nid:2\ndata: b\n\n"]);
    let ids: Vec<Option<u64>> = events.iter().map(|event| event.id).collect();
    assert_eq!(ids, [Some(1), Some(2)]);
    assert_eq!(events[0].bytes, b"id: 1\ndata: a\n\n");
    assert!(remainder.is_empty());
}

#[test]
fn next_event_split_at_any_byte() {
    let text = "bergamot: 2\nid: 7\r\ndata: x\r\n\r\nid: 8\ndata: y\n\nid: 9\ndata";
    let unsplit = split(&[text]);
    for at in 1..text.len() {
        let (front, back) = text.split_at(at);
        assert_eq!(split(&[front, back]), unsplit, "split at {at}");
    }
    let bytes: Vec<&str> = (0..text.len()).map(|at| &text[at..=at]).collect();
    assert_eq!(split(&bytes), unsplit);
}

#[test]
fn remainder_incomplete_event() {
    let (events, remainder) = split(&["id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert_eq!(remainder, b"id: 2\nda");
}

#[test]
fn next_event_each_line_end() {
    for end in ["\n", "\r\n", "\r"] {
        let text = format!("id: 1{end}data: a{end}{end}id: 2{end}data: b{end}{end}: c{end}");
        let (events, remainder) = split(&[&text]);
        let ids: Vec<Option<u64>> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(1), Some(2)], "{end:?}");
        assert_eq!(remainder, format!(": c{end}").as_bytes(), "{end:?}");
        let bytes: Vec<&str> = (0..text.len()).map(|at| &text[at..=at]).collect();
        let (by_bytes, _) = split(&bytes);
        assert_eq!(by_bytes.len(), 2, "{end:?}");
    }
}

/// Whether a stream of these bytes ends inside an event.
fn ends_inside_event(text: &str) -> bool {
    let mut splitter = EventSplitter::default();
    splitter.buffer().extend_from_slice(text.as_bytes());
    while splitter.next_event().is_some() {}
    splitter.is_inside_event()
}

#[test]
fn is_inside_event_cut_at_any_byte() {
    for end in ["\n", "\r\n", "\r"] {
        let event = format!("id: 1{end}data: a{end}{end}");
        for at in 1..event.len() {
            assert!(ends_inside_event(&event[..at]), "{:?}", &event[..at]);
            let second = format!("{event}{}", &event[..at]);
            assert!(ends_inside_event(&second), "{second:?}");
        }
        assert!(!ends_inside_event(&event), "{event:?}");
    }
}

#[test]
fn is_inside_event_between_events() {
    for text in [
        "",
        "\n",
        ": comment\n",
        "id: 1\n\n: comment\n\n",
        "id: 1\r\r\n",
    ] {
        assert!(!ends_inside_event(text), "{text:?}");
    }
    assert!(ends_inside_event("id: 1\n\n: comm"));
}

/// Guards against a process that ends at an id after which there is none.
#[test]
fn fault_after_largest_id() {
    let (events, _) = split(&["id: 18446744073709551615\ndata: a\n\n"]);
    let (of_other_replica, _) = split(&["id: 7\ndata: b\n\n"]);
    assert_eq!(events[0].fault_after(None), None);
    assert_eq!(of_other_replica[0].fault_after(events[0].id), None);
    assert_eq!(
        last_fault("id: 18446744073709551615\ndata: a\n\nid: 7\ndata: b\n\n"),
        Some("event_order")
    );
}

/// Why the last event of a stream can't follow those before it.
fn last_fault(text: &str) -> Option<&'static str> {
    let (events, _) = split(&[text]);
    let (last, before) = events.split_last().expect("there is an event");
    last.fault_after(before.iter().rev().find_map(|event| event.id))
}

#[test]
fn fault_after_lines_of_no_event() {
    for line in [
        "HTTP/1.1 500 X",
        "HTTP/1.1 500 X: y",
        "Content-Type: text/plain",
        "failed",
        "failed to: run",
        "{\"a\": 1}",
        "5: a",
        "-a: b",
        "\u{feff}id: 2",
    ] {
        for event in [
            format!("{line}\n\n"),
            format!("{line}\nid: 2\ndata: b\n\n"),
            format!("id: 2\ndata: b\n{line}\n\n"),
        ] {
            let text = format!("id: 1\ndata: a\n\n{event}");
            assert_eq!(last_fault(&text), Some("malformed"), "{event:?}");
        }
    }
    // A field that clients don't know stands in no event of its own.
    assert_eq!(last_fault("server: x\n\n"), Some("malformed"));
}

#[test]
fn fault_after_lines_of_events() {
    for line in [
        ": c",
        ":HTTP/1.1 500 X",
        "bergamot-versions: 2",
        "a_1:",
        "data",
        "data:",
        "data: HTTP/1.1 500 X",
        "event: e",
        "event",
        "retry: 5",
        "retry",
    ] {
        for end in ["\n", "\r\n", "\r"] {
            let event = format!("{line}{end}id: 2{end}data: b{end}{end}");
            let text = format!("id: 1{end}data: a{end}{end}{event}");
            assert_eq!(last_fault(&text), None, "{event:?}");
        }
    }
    for event in [
        ": c\n\n",
        "\n\n",
        "event: e\n\n",
        "retry: 5\n\n",
        "id: 2\n\n",
    ] {
        let text = format!("id: 1\ndata: a\n\n{event}");
        assert_eq!(last_fault(&text), None, "{event:?}");
    }
}

#[test]
fn fault_after_ids_of_same_replica() {
    let first = "id: 2\ndata: b\n\n";
    for (event, fault) in [
        ("id: 3\ndata: c\n\n", None),
        ("id: 2\ndata: b\n\n", None),
        ("id: 2\ndata: other\n\n", Some("event_changed")),
        ("id: 1\ndata: a\n\n", Some("event_order")),
        ("id: 4\ndata: d\n\n", Some("event_gap")),
        ("id: 3\nid: 9\ndata: c\n\n", Some("event_gap")),
        ("id: 3\nid\ndata: c\n\n", Some("event_without_id")),
        ("id: x\n\n", Some("event_without_id")),
        ("data: c\n\n", Some("event_without_id")),
    ] {
        assert_eq!(last_fault(&format!("{first}{event}")), fault, "{event:?}");
    }
}

/// Guards against a stream of another request that begins among events which the client has
/// and are left out.
#[test]
fn fault_after_gap_below_last_id() {
    let (events, _) = split(&["id: 1\ndata: a\n\nid: 6\ndata: f\n\n"]);
    assert_eq!(events[1].fault_after(Some(5)), Some("event_gap"));
}

#[test]
fn next_event_byte_order_mark_left_out() {
    let text = "\u{feff}\n\nid: 1\ndata: a\n\n";
    let expected = split(&["\n\nid: 1\ndata: a\n\n"]);
    assert_eq!(split(&[text]), expected);
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for byte in text.bytes() {
        splitter.buffer().push(byte);
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    assert_eq!(events, expected.0);
    assert!(ends_inside_event("\u{feff}id: 1"));
    assert!(!ends_inside_event("\u{feff}"));
}

/// Decodes records whose value is the address of a replica.
struct AddressDecoder;

impl RecordDecoder for AddressDecoder {
    fn operator_record(&self, _key: &str, _value: &[u8]) -> Result<OperatorRecord, InvalidRecord> {
        Ok(OperatorRecord::Other)
    }

    fn evacuated_domain<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix("evacuate/")
    }

    fn record_version(&self, _topic: Topic, _record: &TopicRecord) -> Option<RecordVersion> {
        None
    }

    fn replica_record(&self, key: &str, value: &[u8]) -> Result<ReplicaRecord, InvalidRecord> {
        Ok(ReplicaRecord {
            id: key.to_owned(),
            service: "s".to_owned(),
            address: String::from_utf8_lossy(value).parse().unwrap(),
            failure_domain: "z".to_owned(),
            slots: 1,
            state: ReplicaState::Ready,
            cold_remaining_ms: 0,
            heartbeat_no: 1,
            born_unix_ms: None,
            weights: Vec::new(),
        })
    }
}

fn settings() -> GatewaySettings {
    let any: SocketAddr = "127.0.0.1:1".parse().unwrap();
    GatewaySettings {
        name: "own".to_owned(),
        failure_domain: "z".to_owned(),
        regions: Vec::new(),
        front: any,
        ready: None,
        directory: None,
        internal: any,
        metrics: any,
        grace_ms: 1_000,
        directory_ttl_s: 1,
        retry_ratio: 0.1,
        extra_retries: 1.0,
        retry_window_ms: 1_000,
        replica_heartbeat_ms: 1_000,
        weights_apply_ms: 8_000,
        config_apply_ms: 2_000,
        cold_overage: 1.0,
        cold_slack: 0.0,
        link_mbps: 100.0,
        max_client_connections: 10,
        receive_buffer_bytes: bergamotfork::http1::RECEIVE_BUFFER_BYTES,
        memory_bytes: None,
    }
}

fn heartbeat(name: String) -> EntryHeartbeat {
    let any: SocketAddr = "127.0.0.1:2".parse().unwrap();
    EntryHeartbeat {
        name,
        incarnation: 1,
        internal: any,
        front: any,
        failure_domain: "z".to_owned(),
        link_mbps: 100.0,
        is_ready: true,
        has_store: true,
        ends: [0; 3],
        replicas_age_ms: 0,
        declared: Vec::new(),
        suspects: Vec::new(),
    }
}

fn record(offset: u64, value: Option<&str>) -> TopicRecord {
    TopicRecord {
        key: "i-1".to_owned(),
        offset,
        value: value.map(|text| text.as_bytes().to_vec()),
    }
}

/// State of an entry that knows one replica from a listing.
fn state_with_one_replica() -> Rc<RefCell<GatewayState>> {
    let state = GatewayState::new(settings());
    let records = vec![record(0, Some("127.0.0.1:9"))];
    state
        .borrow_mut()
        .handle_listing(Topic::Replicas, records, 1, &AddressDecoder);
    state
}

fn replica_count(state: &GatewayState) -> usize {
    state.replicas.listed().count()
}

/// Guards against keeping a replica that has left: the store refuses this entry's
/// reads, but another entry reads on its behalf, so the removal applies at once.
#[actix_rt::test]
async fn handle_records_removal_while_another_entry_reads() {
    let state = state_with_one_replica();
    let mut state = state.borrow_mut();
    for index in 0..8 {
        let now_ms = state.now_ms();
        state
            .peers
            .record_heartbeat(heartbeat(format!("entry-{index}")), now_ms);
    }
    let error = SourceError::Refused(503);
    state.record_store_result(Topic::Replicas, Some(&error));
    state.handle_records(
        Topic::Replicas,
        vec![record(1, Some("127.0.0.1:9"))],
        2,
        &AddressDecoder,
    );
    assert!(state.has_other_reader());
    assert_eq!(replica_count(&state), 1);
    state.handle_records(Topic::Replicas, vec![record(2, None)], 3, &AddressDecoder);
    assert_eq!(replica_count(&state), 0);
}

/// Guards against removing replicas during an outage: no entry can read the store, so
/// a record that expired does not remove its replica.
#[actix_rt::test]
async fn handle_records_expired_record_while_store_is_unavailable() {
    let state = state_with_one_replica();
    let mut state = state.borrow_mut();
    let error = SourceError::Refused(503);
    state.record_store_result(Topic::Replicas, Some(&error));
    state.handle_records(Topic::Replicas, vec![record(2, None)], 3, &AddressDecoder);
    assert_eq!(replica_count(&state), 1);
}

/// Guards against all entries reading the store at once when heartbeats stop because
/// a link is saturated: their reads would keep it saturated.
#[test]
fn has_other_reader_staggered_takeover() {
    let names: Vec<String> = (0..12).map(|index| format!("entry-{index}")).collect();
    let readers = |age_ms: u64| {
        let reads = |own: &&String| {
            let mut peers = PeerTable::default();
            for name in names.iter().filter(|name| name != own) {
                peers.record_heartbeat(heartbeat(name.clone()), 0);
            }
            !peers.has_other_reader(own, "z", 1, age_ms)
        };
        names.iter().filter(reads).count()
    };
    assert_eq!(readers(0), 1);
    assert_eq!(readers(1_200), 2);
    assert!(readers(2_000) <= 5);
    assert_eq!(readers(60_000), 12);
}

#[test]
fn records_reply_round_trip() {
    let mut table = TopicTable::default();
    table.apply_record(record(7, None), |_| None);
    table.advance_end_offset(9);
    let packed = RecordsReply::since(&table, 3).pack();
    let reply = RecordsReply::unpack(&packed).unwrap();
    assert_eq!((reply.end_offset, reply.is_listing), (9, false));
    assert_eq!(reply.into_records(), [record(7, None)]);
}

/// Guards against a stale replica: an entry that started after the replica's record
/// was deleted does not know of the deletion, so its reply must be a listing, which makes
/// the receiver delete the record.
#[test]
fn records_reply_deletion_before_listing() {
    let mut fresh = TopicTable::default();
    fresh.apply_listing(Vec::new(), 6, false, |_| None);
    let mut reader = TopicTable::default();
    reader.apply_record(record(2, Some("127.0.0.1:9")), |_| None);
    reader.advance_end_offset(4);
    let reply = RecordsReply::since(&fresh, reader.end_offset());
    assert!(reply.is_listing);
    let end_offset = reply.end_offset;
    let changes = reader.apply_listing(reply.into_records(), end_offset, false, |_| None);
    assert_eq!(changes.changed, ["i-1"]);
    assert!(reader.get("i-1").unwrap().value.is_none());
    // From the end of the listing on, the reply holds only changes.
    assert!(!RecordsReply::since(&fresh, 6).is_listing);
}

#[test]
fn records_reply_invalid_bytes() {
    let mut table = TopicTable::default();
    table.apply_record(record(3, Some("x")), |_| None);
    let packed = RecordsReply::since(&table, 0).pack();
    assert!(matches!(
        RecordsReply::unpack(&packed[..2]),
        Err(RecordsReplyError::InvalidLength(2))
    ));
    assert!(matches!(
        RecordsReply::unpack(&packed[..packed.len() - 1]),
        Err(RecordsReplyError::Compression(_))
    ));
    assert!(matches!(
        RecordsReply::unpack(&[0xff, 0xff, 0xff, 0x7f, 0]),
        Err(RecordsReplyError::InvalidLength(0x7fff_ffff))
    ));
    let other = lz4_flex::block::compress_prepend_size(b"not records");
    assert!(matches!(
        RecordsReply::unpack(&other),
        Err(RecordsReplyError::Encoding(_))
    ));
}

/// Guards against records of replicas that seem confirmed because an entry has just
/// started: what it has heard of keeps its age, and before that it vouches for nothing.
#[actix_rt::test]
async fn confirm_replicas_before_start_keeps_its_age() {
    let state = GatewayState::new(settings());
    let mut state = state.borrow_mut();
    assert!(state.reported_replicas_age_ms() > 60_000);
    state.confirm_replicas(5_000);
    assert!((5_000..6_000).contains(&state.replicas_age_ms()));
    assert!((5_000..6_000).contains(&state.reported_replicas_age_ms()));
    // An entry that knows nothing changes nothing.
    let unknown = GatewayState::new(settings());
    state.confirm_replicas(unknown.borrow().reported_replicas_age_ms());
    assert!(state.replicas_age_ms() < 6_000);
}
