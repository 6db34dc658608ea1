use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::WrapFuture;
use actix_rt::time::sleep;
use rand::Rng;

use crate::entry::EntryState;
use crate::entry::log_reader::log_schedule;
use crate::entry::log_reader::publish_checkpoint;
use crate::entry::log_reader::read_log;

/// Time for which a read waits at the log for a new record, in milliseconds.
const READ_WAIT_MS: u64 = 2000;

/// A read waits at most the log's retention divided by this, so that checkpoints are
/// published in time.
const READ_WAIT_DIVISOR: u64 = 16;

/// Pause before the next check whether this entry should read the log, in milliseconds.
const IDLE_PAUSE_MS: u64 = 500;

/// Pause after a failed read without its jitter, in milliseconds; it doubles with each
/// further failure.
const RETRY_PAUSE_MS: u64 = 250;

/// Longest pause after a failed read without its jitter, in milliseconds.
const MAX_RETRY_PAUSE_MS: u64 = 4_000;

/// Reads the log while this entry's rank requires it, and applies the configuration.
#[derive(Debug)]
pub struct Tailer {
    state: Arc<EntryState>,
}

impl Tailer {
    /// Tailer of the configuration stream of `state`.
    pub fn new(state: Arc<EntryState>) -> Self {
        Self { state }
    }
}

impl Actor for Tailer {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let state = Arc::clone(&self.state);
        let tailing = async move {
            let mut pause_ms = RETRY_PAUSE_MS;
            loop {
                pause_ms = match read_step(&state).await {
                    ReadStep::Read => RETRY_PAUSE_MS,
                    ReadStep::Idle => {
                        sleep(Duration::from_millis(IDLE_PAUSE_MS)).await;
                        RETRY_PAUSE_MS
                    }
                    ReadStep::Failed => {
                        let jitter_ms = rand::rng().random_range(0..=pause_ms);
                        sleep(Duration::from_millis(pause_ms + jitter_ms)).await;
                        (pause_ms * 2).min(MAX_RETRY_PAUSE_MS)
                    }
                };
            }
        };
        context.spawn(tailing.into_actor(self));
    }
}

/// Result of one step, which determines the pause before the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadStep {
    /// The log was read.
    Read,
    /// There was nothing to read, or another entry reads the log.
    Idle,
    /// The log did not answer.
    Failed,
}

/// Reads the log if this entry has to, and publishes a checkpoint if one is due.
async fn read_step(state: &EntryState) -> ReadStep {
    let schedule = log_schedule(state);
    let node = &state.node;
    let now_ms = node.now_ms();
    let (admits_work, unconfirmed_ms) = {
        let follower = node.follower();
        let age_ms = follower.confirmed_age_ms(now_ms).unwrap_or(now_ms);
        (follower.admits(now_ms), age_ms)
    };
    if admits_work && !schedule.reads_log(unconfirmed_ms) {
        return ReadStep::Idle;
    }
    let offset_before = node.follower().next_read_offset();
    let wait_ms = if admits_work {
        READ_WAIT_MS.min(schedule.retention_ms / READ_WAIT_DIVISOR)
    } else {
        0
    };
    if !read_log(state, wait_ms).await {
        return ReadStep::Failed;
    }
    publish_checkpoint(state, schedule).await;
    // Without this pause, a log that answers empty reads at once would be polled in a busy loop.
    let was_immediate = node.now_ms() - now_ms < IDLE_PAUSE_MS;
    if was_immediate && node.follower().next_read_offset() == offset_before {
        return ReadStep::Idle;
    }
    ReadStep::Read
}
