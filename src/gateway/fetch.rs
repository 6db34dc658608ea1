use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::LogPosition;
use crate::fleet::Topic;
use crate::gateway::RecordDecoder;
use crate::gateway::TopicSink;
use crate::gateway::handlers::RECORDS_PATH;
use crate::gateway::records_reply::RecordsReply;
use crate::http1::ClientRequest;
use crate::http1::Http1Client;
use crate::observe::Event;
use crate::observe::LogLine;

/// Longest time without a byte of the records that are fetched from another process.
const FETCH_STALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest time of fetching records that keep arriving; less than the time within which
/// a configuration must be in force, so that another process can be asked.
const MAX_FETCH_TIME: Duration = Duration::from_millis(2_000);

/// Records that are fetched from another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchRange {
    /// Those that this process lacks by their positions.
    Missing,
    /// All of them: the other process may know some that the store has lost.
    All,
}

/// Fetches records of `topic` from the entry at `peer`.
///
/// A failure is only logged: the next heartbeat of an entry starts another fetch.
pub async fn fetch_records(
    state: &RefCell<impl TopicSink>,
    topic: Topic,
    peer: SocketAddr,
    range: FetchRange,
    decoder: &impl RecordDecoder,
) {
    let (from, has_listing) = {
        let state = state.borrow();
        let table = state.topic_table(topic);
        (table.end_offset(), table.has_listing())
    };
    let from = if has_listing && range == FetchRange::Missing {
        from
    } else {
        0
    };
    let target = format!("{RECORDS_PATH}/{}/{from}", topic.label());
    let mut client = Http1Client::new(peer, Duration::ZERO);
    let reply = match client
        .send(&ClientRequest::get(&target, FETCH_STALL_TIMEOUT).until_stalled(MAX_FETCH_TIME))
        .await
    {
        Ok(reply) if reply.status == 200 => reply,
        Ok(reply) => {
            log::debug!("{peer} refused to send records: status {}", reply.status);
            return;
        }
        Err(error) => {
            log::debug!("cannot fetch records from {peer}: {error}");
            return;
        }
    };
    let reply = match RecordsReply::unpack(&reply.body) {
        Ok(reply) => reply,
        Err(error) => {
            log::warn!("cannot decode the records from {peer}: {error}");
            return;
        }
    };
    let end_offset = reply.end_offset;
    let is_listing = reply.is_listing || !has_listing;
    let records = reply.into_records();
    LogLine::new(Event::RecordsPulled)
        .text("topic", topic.label())
        .text("from", peer.to_string())
        .number("records", records.len())
        .number("era", LogPosition::unpack(end_offset).era)
        .number("end_offset", LogPosition::unpack(end_offset).offset)
        .enqueue();
    let mut state = state.borrow_mut();
    if is_listing {
        state.handle_listing(topic, records, end_offset, decoder);
    } else {
        state.handle_records(topic, records, end_offset, decoder);
    }
}
