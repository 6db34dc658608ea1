use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;

use crate::fleet::ListingTurn;
use crate::fleet::Topic;
use crate::gateway::GatewayState;
use crate::gateway::RecordDecoder;
use crate::gateway::RecordSource;
use crate::gateway::SourceError;
use crate::gateway::TopicRead;
use crate::gateway::TopicSink;

/// Longest time for which one read waits for new records. A connection on which
/// nothing arrives is detected soon after that time.
const MAX_READ_WAIT: Duration = Duration::from_secs(2);

/// Longest time for which one read waits for records of replicas. It is short
/// because the other entries of the failure domain rely on this one to confirm the
/// records continually.
const MAX_REPLICAS_READ_WAIT: Duration = Duration::from_millis(200);

/// Pause between reads of the replicas' records, which change continually.
const REPLICAS_READ_PAUSE: Duration = Duration::from_millis(400);

/// Interval at which an entry checks whether another one still reads on its behalf.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which an entry without a listing checks whether it has come from another
/// entry, or is to be read from the store.
const TURN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Pause between attempts to reach an unavailable store while another entry reads it.
const UNAVAILABLE_STORE_PAUSE: Duration = Duration::from_secs(2);

/// Pause between reads of the operator's records.
const READ_PAUSE: Duration = Duration::from_millis(20);

/// Pauses between reads of the registrations of entries, each with the time since the start
/// of the process until which it holds, in ms. Entries that start at the same moment find
/// each other's registrations by the first; later an entry that starts sends heartbeats to
/// the others, and the reads find only registrations that were sent again.
const MEMBERS_READ_PAUSES: [(u64, Duration); 3] = [
    (400, Duration::from_millis(120)),
    (5_000, Duration::from_secs(1)),
    (u64::MAX, Duration::from_secs(5)),
];

/// Shortest and longest pause after a failed read.
const RETRY_PAUSE_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(600));

/// Keeps a topic up to date from the platform's store, unless another entry of the
/// failure domain reads it on behalf of this one.
pub async fn follow_topic(
    state: Rc<RefCell<GatewayState>>,
    topic: Topic,
    mut source: impl RecordSource,
    decoder: Rc<impl RecordDecoder>,
) {
    let mut trimmed_at = None;
    let mut turn = ListingTurn::at_start();
    let mut failures = 0u32;
    loop {
        // A listing or records that another entry has sent count as well.
        let must_list = {
            let state = state.borrow();
            let table = state.topic_table(topic);
            !table.has_listing() || trimmed_at == Some(table.end_offset())
        };
        if must_list && !has_listing_turn(&state.borrow(), topic, turn) {
            tokio::time::sleep(TURN_CHECK_INTERVAL).await;
            continue;
        }
        if !must_list && state.borrow().has_other_reader() {
            if !state.borrow().is_topic_unavailable(topic) {
                tokio::time::sleep(READER_CHECK_INTERVAL).await;
                continue;
            }
            tokio::time::sleep(UNAVAILABLE_STORE_PAUSE).await;
        }
        let result = if must_list {
            tokio::select! {
                listed = read_listing(&state, topic, &mut source, &*decoder) => {
                    listed.map(|()| false)
                }
                () = wait_for_listing(&state, topic) => continue,
            }
        } else {
            let wait = match topic {
                Topic::Replicas => MAX_REPLICAS_READ_WAIT,
                Topic::Members => Duration::ZERO,
                Topic::Operator => MAX_READ_WAIT,
            };
            read_changes(&state, topic, &mut source, &*decoder, wait).await
        };
        match result {
            Ok(has_trimmed_records) => {
                failures = 0;
                {
                    let state = state.borrow();
                    trimmed_at = has_trimmed_records.then(|| state.topic_table(topic).end_offset());
                    turn = ListingTurn::since(state.now_ms());
                    if topic == Topic::Members {
                        // Entries that this one has just found learn of it at once.
                        state.update_notice.notify_one();
                    }
                }
                let pause = record_read(&mut state.borrow_mut(), topic);
                tokio::time::sleep(pause).await;
            }
            Err(error) => {
                failures += 1;
                state.borrow_mut().record_store_result(topic, Some(&error));
                tokio::time::sleep(retry_pause(failures)).await;
                turn = ListingTurn::since(state.borrow().now_ms());
            }
        }
    }
}

/// Records that the store answered a read of `topic`; returns the pause before the next.
fn record_read(state: &mut GatewayState, topic: Topic) -> Duration {
    state.record_store_result(topic, None);
    match topic {
        Topic::Replicas => {
            state.confirm_replicas(0);
            REPLICAS_READ_PAUSE
        }
        Topic::Members => {
            let now_ms = state.now_ms();
            let mut pauses = MEMBERS_READ_PAUSES.iter();
            pauses
                .find(|pause| now_ms < pause.0)
                .map_or(READ_PAUSE, |pause| pause.1)
        }
        Topic::Operator => READ_PAUSE,
    }
}

/// Whether this entry reads the listing of `topic` now.
///
/// The members' topic is small, and shows the entries to each other: each reads it at
/// once.
fn has_listing_turn(state: &GatewayState, topic: Topic, turn: ListingTurn) -> bool {
    topic == Topic::Members || turn.has_come(state.listing_rank(), state.now_ms())
}

/// Waits until the listing of a topic has arrived, unless this entry has one already.
async fn wait_for_listing(state: &RefCell<GatewayState>, topic: Topic) {
    if state.borrow().topic_table(topic).has_listing() {
        std::future::pending::<()>().await;
    }
    while !state.borrow().topic_table(topic).has_listing() {
        tokio::time::sleep(TURN_CHECK_INTERVAL).await;
    }
}

/// Reads the newest record of each key of a topic, and applies them.
pub async fn read_listing(
    state: &RefCell<impl TopicSink>,
    topic: Topic,
    source: &mut impl RecordSource,
    decoder: &impl RecordDecoder,
) -> Result<(), SourceError> {
    let listing = source.listing(topic).await?;
    let mut state = state.borrow_mut();
    state.handle_listing(topic, listing.records, listing.end_offset, decoder);
    Ok(())
}

/// Reads the records after those already applied, and applies them; waits up to `wait` if
/// there are none. Returns whether the store has trimmed some of them.
pub async fn read_changes(
    state: &RefCell<impl TopicSink>,
    topic: Topic,
    source: &mut impl RecordSource,
    decoder: &impl RecordDecoder,
    wait: Duration,
) -> Result<bool, SourceError> {
    let from = state.borrow().topic_table(topic).end_offset();
    match source.read(topic, from, wait).await? {
        TopicRead::Trimmed => Ok(true),
        TopicRead::Next {
            records,
            next_offset,
        } => {
            let mut state = state.borrow_mut();
            state.handle_records(topic, records, next_offset, decoder);
            Ok(false)
        }
    }
}

/// Pause that grows with the number of failures, with jitter so that the entries do
/// not all retry at the same time.
fn retry_pause(failures: u32) -> Duration {
    let (shortest, longest) = RETRY_PAUSE_RANGE;
    let pause = (shortest * failures.min(8)).min(longest);
    pause.mul_f64(rand::rng().random_range(0.75..1.25))
}
