use crate::support::apply;
use crate::support::edit;
use bergamotfork::document::DocumentError;
use bergamotfork::document::Fold;
use bergamotfork::document::LogRecord;

#[test]
fn decode_round_trip() {
    let mut fold = Fold::new();
    apply(&mut fold, edit("a", "service desk", 0, "timeout_ms = 5"));
    let records = [
        LogRecord::Edit(edit("b", "model chat", 7, "x = y")),
        LogRecord::Checkpoint(fold.checkpoint()),
    ];
    for record in records {
        assert_eq!(LogRecord::decode(&record.encode()), Ok(record));
    }
}

#[test]
fn decode_invalid_bytes() {
    assert_eq!(LogRecord::decode(&[]), Err(DocumentError::Empty));
    let future = LogRecord::decode(&[9, 1, 2]);
    assert_eq!(future, Err(DocumentError::UnknownVersion { version: 9 }));
    let truncated = LogRecord::Edit(edit("a", "model chat", 0, "")).encode();
    let truncated = LogRecord::decode(&truncated[..truncated.len() - 3]);
    assert!(matches!(truncated, Err(DocumentError::Undecodable { .. })));
}

#[test]
fn decode_invalid_structure() {
    let header = edit("a", "model chat", 0, "a = b\n [model other]\nc = d");
    let header = LogRecord::decode(&LogRecord::Edit(header).encode());
    assert!(matches!(header, Err(DocumentError::HeaderInBody { .. })));
    for name in ["", " model", "model\nchat", "model]"] {
        let name = LogRecord::Edit(edit("a", name, 0, ""));
        let name = LogRecord::decode(&name.encode());
        assert!(matches!(name, Err(DocumentError::InvalidIdentifier { .. })));
    }
}

#[test]
fn decode_altered_checkpoint() {
    let mut fold = Fold::new();
    apply(&mut fold, edit("a", "service desk", 0, "timeout_ms = 5"));
    let mut checkpoint = fold.checkpoint();
    checkpoint.sections[0].body = "timeout_ms = 6".to_owned();
    let altered = LogRecord::decode(&LogRecord::Checkpoint(checkpoint).encode());
    assert_eq!(altered, Err(DocumentError::CorruptCheckpoint { as_of: 1 }));
}

/// Records of another writer: nested very deeply, or with lengths that nothing follows.
#[test]
fn decode_odd_bytes() {
    let lengths = [0xdd, 0xdf, 0xdb, 0xc6, 0xc9];
    let mut odd: Vec<Vec<u8>> = lengths
        .map(|kind| vec![kind, 0xff, 0xff, 0xff, 0xff])
        .into();
    for kind in [0x91, 0x81, 0xdc, 0xde] {
        odd.push(vec![kind; 100_000]);
    }
    for name in ["Edit", "Checkpoint"] {
        let head = [&[0x81, 0xa0 | name.len() as u8], name.as_bytes()].concat();
        for tail in odd.clone() {
            odd.push([head.clone(), tail].concat());
        }
    }
    for bytes in odd {
        let decoded = LogRecord::decode(&[&[1][..], &bytes].concat());
        let head = &bytes[..bytes.len().min(16)];
        assert!(
            matches!(decoded, Err(DocumentError::Undecodable { .. })),
            "{head:x?}"
        );
    }
}
