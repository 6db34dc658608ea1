use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::calls::SuspectRecord;
use crate::gateway::Datagram;
use crate::gateway::GatewayState;
use crate::gateway::heartbeats::entry_targets;
use crate::gateway::heartbeats::send_to_all;
use crate::observe::Event;
use crate::observe::LogLine;
use crate::weights::Digest;

/// Number of times that a change is sent, as a datagram may be lost.
const NOTICE_SENDS: u32 = 3;

/// Pause between two sends of a change.
const RESEND_PAUSE: Duration = Duration::from_millis(80);

/// Largest number of records in one datagram.
const MAX_NOTICE_RECORDS: usize = 48;

/// Notice of requests that are suspected of crashes, or no longer are.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SuspectNotice {
    /// Name of the sender's host.
    pub name: String,
    /// All records of the requests of which one has changed.
    pub records: Vec<SuspectRecord>,
}

/// A request whose suspicions have changed.
#[derive(Debug, Clone, Copy)]
struct ChangedSuspect {
    fingerprint: Digest,
    sends_left: u32,
    next_send_ms: u64,
}

/// Requests whose suspicions have changed, which the other entries are told.
#[derive(Debug, Default)]
pub struct ChangedSuspects {
    // Oldest first.
    changed: Vec<ChangedSuspect>,
}

impl ChangedSuspects {
    /// Adds a request, which is due at once.
    pub fn add(&mut self, fingerprint: Digest, now_ms: u64) {
        self.changed
            .retain(|changed| changed.fingerprint != fingerprint);
        self.changed.push(ChangedSuspect {
            fingerprint,
            sends_left: NOTICE_SENDS,
            next_send_ms: now_ms,
        });
    }

    /// Returns the requests that are due, each as often as it is sent.
    pub fn take_due(&mut self, now_ms: u64) -> Vec<Digest> {
        let mut due = Vec::new();
        for changed in &mut self.changed {
            if changed.next_send_ms <= now_ms {
                due.push(changed.fingerprint);
                changed.sends_left -= 1;
                changed.next_send_ms = now_ms + RESEND_PAUSE.as_millis() as u64;
            }
        }
        self.changed.retain(|changed| changed.sends_left > 0);
        due
    }

    /// Whether there are requests that are still to be sent.
    pub fn is_empty(&self) -> bool {
        self.changed.is_empty()
    }
}

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
    let learned = state
        .suspects
        .merge_records(records.iter().cloned(), now_ms);
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
