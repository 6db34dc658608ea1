//! What a process holds for its peers stays within its memory, however it is set.

use std::time::Duration;
use std::time::Instant;

use bergamotfork::http1::INTERNAL_RECEIVE_BUFFER_BYTES;
use bergamotfork::http1::ListenerLoad;
use bergamotfork::http1::MemoryBudget;
use bergamotfork::http1::RECEIVE_BUFFER_BYTES;
use bergamotfork::http1::RoomUse;
use bergamotfork::observe::RefusalPace;

/// Bytes that a budget gives out at most.
fn given_bytes(budget: &MemoryBudget) -> usize {
    let step = 1024;
    let mut given = 0;
    while budget.change(0, step, RoomUse::SmallRequest).is_ok() {
        given += step;
    }
    given
}

/// Listeners of a process with `memory_bytes` whose descriptors allow `max_connections`.
fn listeners(memory_bytes: usize, max_connections: usize, buffer: u32) -> Vec<ListenerLoad> {
    let internal = ListenerLoad {
        max_connections: 272,
        receive_buffer_bytes: INTERNAL_RECEIVE_BUFFER_BYTES,
    };
    let affordable = MemoryBudget::affordable_connections(memory_bytes, buffer, &[internal]);
    let clients = ListenerLoad {
        max_connections: max_connections.min(affordable),
        receive_buffer_bytes: buffer,
    };
    vec![internal, clients]
}

#[tokio::test]
async fn connections_and_messages_within_memory() {
    for memory_mb in [64, 96, 128, 260, 512, 1_024] {
        for max_connections in [16, 250, 1_900, 4_000, 100_000] {
            for buffer in [4_096, RECEIVE_BUFFER_BYTES, 262_144] {
                let memory_bytes = memory_mb << 20;
                let listeners = listeners(memory_bytes, max_connections, buffer);
                let taken: usize = listeners.iter().map(ListenerLoad::most_bytes).sum();
                let budget = MemoryBudget::of_process(Some(memory_bytes), &listeners);
                let given = given_bytes(&budget);
                let case = format!("{memory_mb} MB, {max_connections} connections, {buffer}");
                // The process itself takes up to a third, at most 32 MiB.
                let own_bytes = (memory_bytes / 3).min(32 << 20);
                assert!(taken + given + own_bytes <= memory_bytes, "{case}");
                assert!(given >= memory_bytes / 8 - 1024, "{case}");
            }
        }
    }
}

#[test]
fn host_connections_all_affordable() {
    let listeners = listeners(260 << 20, 1_900, RECEIVE_BUFFER_BYTES);
    assert_eq!(listeners[1].max_connections, 1_900);
}

#[test]
fn refusals_one_line_a_second() {
    let mut pace = RefusalPace::default();
    let start = Instant::now();
    let refuse = |pace: &mut RefusalPace, ms| {
        pace.record("clients", "no_memory", start + Duration::from_millis(ms))
    };
    assert_eq!(refuse(&mut pace, 0), Some(1));
    let lines = (1..1_000).filter(|ms| refuse(&mut pace, *ms).is_some());
    assert_eq!(lines.count(), 0);
    assert_eq!(pace.record("clients", "limit", start), Some(1));
    assert_eq!(refuse(&mut pace, 1_000), Some(1_000));
}
