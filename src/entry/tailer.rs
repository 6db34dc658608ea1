use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::WrapFuture;

use crate::entry::EntryState;
use crate::observe::Event;
use crate::observe::Tally;
use crate::observe::emit;

/// Records asked for in one read.
const READ_MAX: usize = 256;

/// Time a read waits at the log for a new record.
const READ_WAIT_MS: u64 = 2000;

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Follows the log and folds the configuration.
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
            loop {
                if !read_once(&state).await {
                    actix_rt::time::sleep(RETRY_PAUSE).await;
                }
            }
        };
        context.spawn(tailing.into_actor(self));
    }
}

/// Reads and folds one run of records; returns whether the log answered.
async fn read_once(state: &EntryState) -> bool {
    let node = &state.node;
    node.metrics()
        .add(Tally::PlatformCalls, 1, "call", "log_read");
    let from = node.fold().head();
    let slice = match state.log.read(from, READ_MAX, READ_WAIT_MS).await {
        Ok(slice) => slice,
        Err(error) => {
            emit(Event::LogUnavailable, &[("error", &error)]);
            return false;
        }
    };
    let mut fold = node.fold();
    for record in &slice.records {
        fold.apply(record.offset, &record.body());
    }
    let head = fold.head();
    drop(fold);
    if head >= slice.next {
        node.set_ready(true);
    }
    if head > from {
        emit(
            Event::ConfigAdvanced,
            &[("host", &node.name()), ("offset", &head)],
        );
    }
    true
}
