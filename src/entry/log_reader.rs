use crate::clients::LogReadResponse;
use crate::document::LogRecord;
use crate::document::follow::LogDuty;
use crate::document::follow::LogPage;
use crate::document::follow::LogReader;
use crate::document::follow::LoggedRecord;
use crate::document::follow::log_rank;
use crate::entry::EntryState;
use crate::hosts::HostRole;
use crate::node::emit_notices;
use crate::observe::CounterKind;
use crate::observe::Event;
use crate::observe::emit_event;

/// Records asked for in one read.
const READ_MAX: usize = 256;

/// What this entry does at the log now, going by its rank among the live entries.
pub fn log_duty(state: &EntryState) -> LogDuty {
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
    LogDuty {
        rank: log_rank(node.name(), &readers),
        retention_ms: state.settings.log_retention_ms,
    }
}

/// Reads and folds one run of records; returns whether the log answered.
pub async fn read_log(state: &EntryState, wait_ms: u64) -> bool {
    let node = &state.node;
    node.metrics()
        .add(CounterKind::PlatformCalls, 1, "call", "log_read");
    let from = node.follower().read_from();
    let asked_ms = node.now_ms();
    let slice = match state.log.read(from, READ_MAX, wait_ms).await {
        Ok(slice) => slice,
        Err(error) => {
            emit_event(Event::LogUnavailable, &[("error", &error)]);
            return false;
        }
    };
    let page = page_of(&slice);
    let notices = node.follower().log_page(node.now_ms(), asked_ms, &page);
    emit_notices(node, &notices);
    true
}

/// Publishes a checkpoint if it is this entry's turn.
pub async fn publish_checkpoint(state: &EntryState, duty: LogDuty) {
    let node = &state.node;
    let now_ms = node.now_ms();
    let checkpoint = {
        let follower = node.follower();
        let is_due = duty.publishes_checkpoint(follower.checkpoint_age_ms(now_ms));
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

fn page_of(slice: &LogReadResponse) -> LogPage {
    let records = slice.records.iter().map(|entry| LoggedRecord {
        offset: entry.offset,
        bytes: entry.body(),
    });
    LogPage {
        earliest: slice.earliest,
        next: slice.next,
        records: records.collect(),
    }
}
