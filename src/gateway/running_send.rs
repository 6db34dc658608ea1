use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::calls::AnswerStage;
use crate::calls::AnswerUnderWay;
use crate::calls::BeginSign;
use crate::fleet::ReplicaNotice;
use crate::gateway::GatewayState;
use crate::gateway::crash_signs::SuspectTrial;
use crate::gateway::event_stream::EventStream;
use crate::gateway::event_stream::StreamPart;
use crate::gateway::exchange::SendOutcome;
use crate::gateway::placement::ChosenReplica;
use crate::gateway::placement::InFlightGuard;

/// Most replicas at which a request runs at the same time.
const MAX_SENDS_AT_ONCE: usize = 2;

/// How far a send has come.
enum SendState {
    /// The answer, or the head of a stream, is waited for.
    Waiting(Pin<Box<dyn Future<Output = SendOutcome>>>),
    /// Events of a stream arrive.
    Streaming(Box<EventStream>),
}

/// What a send has brought.
#[derive(Debug)]
pub(super) enum SendProgress {
    /// An answer, the head of a stream, or a failure.
    Outcome(SendOutcome),
    /// A part of a stream.
    Part(StreamPart),
}

/// A request that is under way to one replica. Its connection is reset when it is dropped.
pub(super) struct RunningSend<'a> {
    /// The replica.
    pub(super) chosen: ChosenReplica,
    /// Counts the request as in flight.
    pub(super) in_flight: InFlightGuard<'a>,
    /// What the answer has said of the replica.
    pub(super) notice: Rc<Cell<ReplicaNotice>>,
    /// Time at which it is next decided what becomes of it.
    pub(super) check_at: Instant,
    /// Whether its silence was recorded.
    pub(super) is_silence_recorded: bool,
    /// Whether it was sent beside another.
    pub(super) is_second: bool,
    trial: Option<SuspectTrial<'a>>,
    state: SendState,
    sent_at: Instant,
    // Time by which the replica must have begun it, as newer weights come due then.
    begin_by: Option<Instant>,
    // Whether it was seen that the replica has begun it.
    is_begun: bool,
    // Time at which it was sent, or bytes of a plain answer last arrived.
    progress_at: Rc<Cell<Instant>>,
    // Time at which this process went on after it had stood still.
    resumed_at: Option<Instant>,
}

impl<'a> RunningSend<'a> {
    /// A send whose answer is the result of `exchange`; `trial` is held while it runs.
    pub(super) fn new(
        chosen: ChosenReplica,
        in_flight: InFlightGuard<'a>,
        notice: Rc<Cell<ReplicaNotice>>,
        progress_at: Rc<Cell<Instant>>,
        trial: Option<SuspectTrial<'a>>,
        exchange: impl Future<Output = SendOutcome> + 'static,
    ) -> Self {
        let sent_at = progress_at.get();
        let begin_within = chosen.begin_within_ms.map(Duration::from_millis);
        let mut send = Self {
            chosen,
            in_flight,
            notice,
            check_at: sent_at,
            is_silence_recorded: false,
            is_second: false,
            trial,
            state: SendState::Waiting(Box::pin(exchange)),
            sent_at,
            begin_by: begin_within.map(|within| sent_at + within),
            is_begun: false,
            progress_at,
            resumed_at: None,
        };
        send.record_progress();
        send
    }

    /// Waits for what the send brings next; nothing is lost when the wait is dropped.
    async fn progress(&mut self) -> SendProgress {
        match &mut self.state {
            SendState::Waiting(exchange) => SendProgress::Outcome(exchange.as_mut().await),
            SendState::Streaming(stream) => SendProgress::Part(stream.next_part().await),
        }
    }

    /// Continues with the events of `stream`.
    pub(super) fn begin_stream(&mut self, stream: Box<EventStream>) {
        self.state = SendState::Streaming(stream);
        self.record_progress();
    }

    /// Records that the send has brought something.
    pub(super) fn record_progress(&mut self) {
        let check_at = Instant::now() + Duration::from_millis(AnswerUnderWay::MIN_SILENCE_MS);
        let begin_by = self.begin_by.filter(|_| self.is_waiting());
        self.check_at = begin_by.map_or(check_at, |begin_by| begin_by.min(check_at));
        self.is_silence_recorded = false;
    }

    /// Records that its events are passed on.
    pub(super) fn record_forwarded(&mut self) {
        if let SendState::Streaming(stream) = &mut self.state {
            stream.record_forwarded();
        }
    }

    /// The stream, once its head has arrived.
    pub(super) fn stream(&self) -> Option<&EventStream> {
        match &self.state {
            SendState::Waiting(_) => None,
            SendState::Streaming(stream) => Some(stream),
        }
    }

    /// Whether nothing of its answer has arrived.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.state, SendState::Waiting(_))
    }

    /// Whether it tries a request that is refused otherwise.
    pub(super) fn is_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// Time without progress, in ms.
    pub(super) fn silent_ms(&self) -> u64 {
        let silence = match &self.state {
            SendState::Waiting(_) => self.progress_at.get().elapsed(),
            SendState::Streaming(stream) => stream.silence(),
        };
        let silence = self
            .resumed_at
            .map_or(silence, |at| silence.min(at.elapsed()));
        u64::try_from(silence.as_millis()).unwrap_or(u64::MAX)
    }

    /// Time until its replica may no longer begin it, as newer weights come due, in ms; None
    /// without such a limit.
    pub(super) fn weights_due_ms(&self) -> Option<u64> {
        let left = self.begin_by?.saturating_duration_since(Instant::now());
        // Rounded up: no time is left only when it is over.
        Some(u64::try_from(left.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX))
    }

    /// Whether its replica has begun it.
    pub(super) fn begin_sign(&mut self, state: &GatewayState, is_streaming: bool) -> BeginSign {
        let sign = state.begin_sign(&self.chosen, is_streaming);
        // The head of a plain answer may come long before its end.
        self.is_begun |= sign == BeginSign::Running || self.progress_at.get() > self.sent_at;
        if self.is_begun {
            BeginSign::Running
        } else {
            sign
        }
    }

    /// How far its answer has come.
    pub(super) fn stage(&self, is_streaming_route: bool) -> AnswerStage {
        match &self.state {
            SendState::Streaming(_) => AnswerStage::Streaming,
            SendState::Waiting(_) if is_streaming_route => AnswerStage::BeforeFirstEvent,
            SendState::Waiting(_) => AnswerStage::Plain,
        }
    }
}

/// The sends of one request that are under way, oldest first.
pub(super) struct RunningSends<'a>(Vec<RunningSend<'a>>);

impl<'a> RunningSends<'a> {
    /// No sends.
    pub(super) fn new() -> Self {
        Self(Vec::with_capacity(MAX_SENDS_AT_ONCE))
    }

    /// Adds a send.
    pub(super) fn push(&mut self, send: RunningSend<'a>) {
        debug_assert!(self.0.len() < MAX_SENDS_AT_ONCE);
        self.0.push(send);
    }

    /// Whether one more may be added.
    pub(super) fn has_room(&self) -> bool {
        self.0.len() < MAX_SENDS_AT_ONCE
    }

    /// The sends.
    pub(super) fn as_slice(&self) -> &[RunningSend<'a>] {
        &self.0
    }

    /// The send at this index.
    pub(super) fn get_mut(&mut self, at: usize) -> &mut RunningSend<'a> {
        &mut self.0[at]
    }

    /// Removes the send at this index.
    pub(super) fn remove(&mut self, at: usize) -> RunningSend<'a> {
        self.0.remove(at)
    }

    /// Removes all sends but the one at this index, and returns them.
    pub(super) fn remove_others(&mut self, at: usize) -> Vec<RunningSend<'a>> {
        let kept = self.0.remove(at);
        std::mem::replace(&mut self.0, vec![kept])
    }

    /// Waits for what a send brings next, and returns its index with that; without sends it
    /// never ends.
    pub(super) async fn next_progress(&mut self) -> (usize, SendProgress) {
        match self.0.as_mut_slice() {
            [] => std::future::pending().await,
            [only] => (0, only.progress().await),
            [first, second, ..] => tokio::select! {
                biased;
                progress = first.progress() => (0, progress),
                progress = second.progress() => (1, progress),
            },
        }
    }

    /// Records that this process goes on after it has stood still: the silence of the replicas
    /// counts from now on.
    pub(super) fn restart_silence(&mut self) {
        for send in &mut self.0 {
            send.record_progress();
            send.resumed_at = Some(Instant::now());
        }
    }

    /// Time at which it is next decided what becomes of one of them.
    pub(super) fn next_check_at(&self) -> Option<Instant> {
        self.0.iter().map(|send| send.check_at).min()
    }
}
