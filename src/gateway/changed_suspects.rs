use std::time::Duration;

use crate::weights::Digest;

/// Number of times that a change is sent, as a datagram may be lost.
const NOTICE_SENDS: u32 = 3;

/// Pause between two sends of a change.
pub(super) const RESEND_PAUSE: Duration = Duration::from_millis(80);

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
