use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::WrapFuture;
use actix_rt::time::sleep;
use rand::Rng;

use crate::entry::EntryState;
use crate::entry::log_reader::log_duty;
use crate::entry::log_reader::publish_checkpoint;
use crate::entry::log_reader::read_log;

/// Time a read waits at the log for a new record.
const READ_WAIT_MS: u64 = 2000;

/// A read waits at most this fraction of the retention, as checkpoints are due in between.
const READ_WAIT_FRACTION: u64 = 16;

/// Time between two looks at whether this entry should read.
const IDLE_PAUSE_MS: u64 = 500;

/// Pause after the first failed read; it doubles with each further one.
const RETRY_PAUSE_MS: u64 = 250;

/// Longest pause between failed reads.
const MAX_RETRY_PAUSE_MS: u64 = 4_000;

/// Follows the log when it is this entry's turn, and folds the configuration.
#[derive(Debug)]
pub struct Tailer {
    state: Arc<EntryState>,
}

impl Tailer {
    /// Tailer of `state`'s stream.
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

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadStep {
    Read,
    Idle,
    Failed,
}

async fn read_step(state: &EntryState) -> ReadStep {
    let duty = log_duty(state);
    let node = &state.node;
    let now_ms = node.now_ms();
    let (admits, unconfirmed_ms) = {
        let follower = node.follower();
        let age_ms = follower.confirmed_age_ms(now_ms).unwrap_or(now_ms);
        (follower.admits(now_ms), age_ms)
    };
    if admits && !duty.reads(unconfirmed_ms) {
        return ReadStep::Idle;
    }
    let offset_before = node.follower().read_from();
    let wait_ms = if admits {
        READ_WAIT_MS.min(duty.retention_ms / READ_WAIT_FRACTION)
    } else {
        0
    };
    if !read_log(state, wait_ms).await {
        return ReadStep::Failed;
    }
    publish_checkpoint(state, duty).await;
    // A read that brought nothing without a wait must not be repeated at once.
    let was_immediate = node.now_ms() - now_ms < IDLE_PAUSE_MS;
    if was_immediate && node.follower().read_from() == offset_before {
        return ReadStep::Idle;
    }
    ReadStep::Read
}
