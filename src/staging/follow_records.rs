use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::fleet::Topic;
use crate::gateway::FetchRange;
use crate::gateway::RecordDecoder;
use crate::gateway::RecordSource;
use crate::gateway::SourceError;
use crate::gateway::TopicSink;
use crate::gateway::fetch_records;
use crate::gateway::read_changes;
use crate::gateway::read_listing;
use crate::gateway::registered_entries;
use crate::staging::StagingState;

/// Topics that an endpoint process follows.
pub const TOPICS: [Topic; 2] = [Topic::Operator, Topic::Replicas];

/// Longest random time after the start before records are asked for, in ms: many hosts
/// start at the same moment.
const MAX_START_DELAY_MS: u64 = 400;

/// Time without a heartbeat of any entry after which the store is read, in ms.
const ENTRIES_TIMEOUT_MS: u64 = 2_500;

/// Shortest and longest pause before records are asked for again. The pause doubles each
/// time, and is drawn at random between its half and its full length.
const RETRY_PAUSES: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(2_800));

/// Gets the records of the topics at the start, and while no entry sends heartbeats.
///
/// Entries send heartbeats to the endpoint processes that they know, which then fetch
/// what they lack. A process that has just started finds the entries by their
/// registrations and asks one of them. It reads the large topics from the store only
/// when it has heard of no entry for a while: the reads of all hosts of a region share
/// one link with the requests of clients.
pub async fn follow_records(
    state: Rc<RefCell<StagingState>>,
    mut source: impl RecordSource,
    decoder: Rc<impl RecordDecoder>,
) {
    let start_delay_ms = rand::rng().random_range(0..MAX_START_DELAY_MS);
    tokio::time::sleep(Duration::from_millis(start_delay_ms)).await;
    let (shortest, longest) = RETRY_PAUSES;
    let mut pause = shortest;
    let mut attempts = 0u32;
    loop {
        if has_missing_listing(&state) {
            // Every second attempt asks another one of the same entries.
            let is_retry_of_known = attempts > 0 && attempts.is_multiple_of(2);
            ask_registered_entry(&state, &mut source, &*decoder, is_retry_of_known).await;
            attempts += 1;
        }
        if is_without_entries(&state) {
            for topic in TOPICS {
                if let Err(error) = read_topic(&state, topic, &mut source, &*decoder).await {
                    log::debug!("cannot read topic {topic:?} from the store: {error}");
                }
            }
        } else if !has_missing_listing(&state) {
            pause = shortest;
        }
        tokio::time::sleep(pause.mul_f64(rand::rng().random_range(0.5..1.0))).await;
        pause = (pause * 2).min(longest);
    }
}

/// Whether the process lacks the listing of a topic.
fn has_missing_listing(state: &RefCell<StagingState>) -> bool {
    let state = state.borrow();
    let mut topics = TOPICS.iter();
    topics.any(|topic| !state.topic_table(*topic).has_listing())
}

/// Whether no entry has sent a heartbeat for a while.
fn is_without_entries(state: &RefCell<StagingState>) -> bool {
    let state = state.borrow();
    let last_ms = state.last_heartbeat_ms().unwrap_or(0);
    state.now_ms().saturating_sub(last_ms) >= ENTRIES_TIMEOUT_MS
}

/// Fetches the listings that the process lacks from an entry that is registered in the
/// store. The registrations are read unless some are known, and again with
/// `is_retry_of_known`.
async fn ask_registered_entry(
    state: &RefCell<StagingState>,
    source: &mut impl RecordSource,
    decoder: &impl RecordDecoder,
    is_retry_of_known: bool,
) {
    let known_entries = || -> Vec<SocketAddr> {
        registered_entries(state.borrow().topic_table(Topic::Members)).collect()
    };
    // The entry that was asked last may only have lacked the listings itself.
    let may_be_outdated = is_retry_of_known || known_entries().is_empty();
    if may_be_outdated
        && let Err(error) = read_listing(state, Topic::Members, source, decoder).await
    {
        log::debug!("cannot read the registrations of entries: {error}");
    }
    let entries = known_entries();
    let Some(entry) = entries.choose(&mut rand::rng()) else {
        return;
    };
    for topic in TOPICS {
        if !state.borrow().topic_table(topic).has_listing() {
            fetch_records(state, topic, *entry, FetchRange::Missing, decoder).await;
        }
    }
}

/// Reads what the process lacks of a topic from the store.
async fn read_topic(
    state: &RefCell<StagingState>,
    topic: Topic,
    source: &mut impl RecordSource,
    decoder: &impl RecordDecoder,
) -> Result<(), SourceError> {
    let has_listing = state.borrow().topic_table(topic).has_listing();
    if has_listing && !read_changes(state, topic, source, decoder, Duration::ZERO).await? {
        return Ok(());
    }
    read_listing(state, topic, source, decoder).await
}
