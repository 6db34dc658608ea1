use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

use crate::calls::SuspectRecord;
use crate::gateway::Datagram;
use crate::gateway::GatewayState;
use crate::gateway::SuspectNotice;
use crate::gateway::changed_suspects::RESEND_PAUSE;
use crate::gateway::datagram::send_to_all;
use crate::gateway::heartbeat_targets::entry_targets;
use crate::observe::Event;
use crate::observe::LogLine;

/// Largest number of records in one datagram.
const MAX_NOTICE_RECORDS: usize = 48;

/// Tells the other entries of each change of the suspects, at once and again shortly after.
pub async fn send_suspect_notices(state: Rc<RefCell<GatewayState>>, socket: Rc<UdpSocket>) {
    let notice = state.borrow().suspects_notice.clone();
    loop {
        let changed = notice.notified();
        if state.borrow().changed_suspects.is_empty() {
            changed.await;
        } else if tokio::time::timeout(RESEND_PAUSE, changed).await.is_err() {
            log::trace!("changes of the crash suspects are sent again");
        }
        let (notices, entries) = due_notices(&mut state.borrow_mut());
        for notice in notices {
            send_to_all(&socket, &Datagram::Suspects(notice).encode(), &entries);
        }
    }
}

/// Notices of the changes that are due, and the entries they are for.
fn due_notices(state: &mut GatewayState) -> (Vec<SuspectNotice>, Vec<SocketAddr>) {
    let now_ms = state.now_ms();
    let mut records = Vec::new();
    for fingerprint in state.changed_suspects.take_due(now_ms) {
        records.extend(state.suspects.request_records(fingerprint, now_ms));
    }
    let notices = records
        .chunks(MAX_NOTICE_RECORDS)
        .map(|records| SuspectNotice {
            name: state.settings.name.clone(),
            records: records.to_vec(),
        });
    let entries = entry_targets(state)
        .iter()
        .map(|target| target.address)
        .collect();
    (notices.collect(), entries)
}

/// Merges and logs the suspicions that another entry reports.
pub fn merge_suspects(state: &mut GatewayState, entry: &str, records: &[SuspectRecord]) {
    let now_ms = state.now_ms();
    let records = state.rule_out_parts(records);
    let learned = state.suspects.merge_records(records, now_ms);
    if learned.is_empty() {
        return;
    }
    for fingerprint in learned {
        LogLine::new(Event::SuspectLearned)
            .text("entry", entry)
            .text("fingerprint", fingerprint.short_hex())
            .number("crashes", state.suspects.crash_count(fingerprint, now_ms))
            .enqueue();
    }
    state.record_told_crashes();
    state.suspects_notice.notify_waiters();
}
