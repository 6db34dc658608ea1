use bergamotfork::calls::CloseSigns;
use bergamotfork::calls::PortSign;

/// Signs of a replica of which nothing but its port is known.
fn port_alone(port: PortSign) -> CloseSigns {
    CloseSigns {
        port,
        is_ended: false,
        is_reported_down: false,
        has_broken_neighbours: false,
        is_leaving: false,
    }
}

/// Guards against the part of an answer that is taken for whole after a crash, and against
/// sound answers that are thrown away since a listener is full or packets are lost.
#[test]
fn is_end_of_answer_by_port() {
    assert!(port_alone(PortSign::Open).is_end_of_answer());
    assert!(port_alone(PortSign::Unknown).is_end_of_answer());
    assert!(!port_alone(PortSign::Refused).is_end_of_answer());
}

/// Guards against a false report that ends sound answers, and a true one that is not used where
/// the port tells nothing.
#[test]
fn is_end_of_answer_reported_down() {
    let is_end = |port| {
        let signs = CloseSigns {
            is_reported_down: true,
            ..port_alone(port)
        };
        signs.is_end_of_answer()
    };
    assert!(is_end(PortSign::Open));
    assert!(!is_end(PortSign::Unknown));
}

/// Guards against a crash that is missed since the next process listens already, and against
/// answers of a replica that leaves in order which are thrown away.
#[test]
fn is_end_of_answer_ended_or_leaving() {
    for is_leaving in [false, true] {
        let signs = CloseSigns {
            is_leaving,
            ..port_alone(PortSign::Open)
        };
        assert!(signs.is_end_of_answer());
        let ended = CloseSigns {
            is_ended: true,
            ..signs
        };
        assert!(!ended.is_end_of_answer());
        let beside_broken = CloseSigns {
            has_broken_neighbours: true,
            ..signs
        };
        assert!(!beside_broken.is_end_of_answer());
    }
    let leaving = CloseSigns {
        is_leaving: true,
        ..port_alone(PortSign::Refused)
    };
    assert!(leaving.is_end_of_answer());
}
