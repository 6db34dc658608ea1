use crate::clients::LogReadResponse;
use crate::document::LogRecord;
use crate::document::follow::EncodedRecord;
use crate::document::follow::LogPage;
use crate::document::follow::LogReader;
use crate::document::follow::LogSchedule;
use crate::document::follow::log_rank;
use crate::entry::EntryState;
use crate::hosts::HostRole;
use crate::node::emit_notices;
use crate::observe::CounterKind;
use crate::observe::Event;
use crate::observe::emit_event;

/// Largest number of records requested in one read.
const MAX_RECORDS_PER_READ: usize = 256;

/// When this entry reads the log and publishes checkpoints, which depends on its rank among
/// the usable entries.
pub fn log_schedule(state: &EntryState) -> LogSchedule {
    let node = &state.node;
    let own = LogReader {
        name: node.name(),
        region: &node.process().region,
        domain: &node.process().domain,
    };
    let roster = node.roster();
    let mut readers: Vec<LogReader<'_>> = roster
        .usable(HostRole::Entry, node.now_ms())
        .filter(|(_, host)| host.name != node.name())
        .map(|(_, host)| LogReader {
            name: &host.name,
            region: &host.region,
            domain: &host.domain,
        })
        .collect();
    readers.push(own);
    LogSchedule {
        rank: log_rank(node.name(), &readers),
        retention_ms: state.settings.log_retention_ms,
    }
}

/// Reads the next records and applies them; returns whether the log answered.
///
/// The log holds the answer for up to `wait_ms` if there is no new record.
pub async fn read_log(state: &EntryState, wait_ms: u64) -> bool {
    let node = &state.node;
    node.metrics()
        .add(CounterKind::PlatformCalls, 1, "call", "log_read");
    let from_offset = node.follower().next_read_offset();
    let requested_ms = node.now_ms();
    let response = match state
        .log
        .read(from_offset, MAX_RECORDS_PER_READ, wait_ms)
        .await
    {
        Ok(response) => response,
        Err(error) => {
            emit_event(Event::LogUnavailable, &[("error", &error)]);
            return false;
        }
    };
    let page = to_log_page(&response);
    let notices = node
        .follower()
        .apply_log_page(node.now_ms(), requested_ms, &page);
    emit_notices(node, &notices);
    true
}

/// Appends a checkpoint to the log if this entry's rank makes it due.
pub async fn publish_checkpoint(state: &EntryState, schedule: LogSchedule) {
    let node = &state.node;
    let now_ms = node.now_ms();
    let checkpoint = {
        let follower = node.follower();
        let is_due = schedule.publishes_checkpoint(follower.checkpoint_age_ms(now_ms));
        if !is_due || !follower.admits(now_ms) || follower.fold().head() == 0 {
            return;
        }
        follower.fold().checkpoint()
    };
    node.metrics()
        .add(CounterKind::PlatformCalls, 1, "call", "log_append");
    let as_of = checkpoint.as_of;
    let record = LogRecord::Checkpoint(checkpoint).encode();
    match state.log.append(record).await {
        Ok(_) => emit_event(
            Event::CheckpointPublished,
            &[("host", &node.name()), ("as_of", &as_of)],
        ),
        Err(error) => emit_event(Event::LogUnavailable, &[("error", &error)]),
    }
}

/// Converts the response of one read to the page that the follower applies.
fn to_log_page(response: &LogReadResponse) -> LogPage {
    let records = response.records.iter().map(|entry| EncodedRecord {
        offset: entry.offset,
        bytes: entry.body(),
    });
    LogPage {
        earliest: response.earliest,
        next: response.next,
        records: records.collect(),
    }
}
