//! Decides what becomes of an answer that is under way.
//!
//! The load pattern: among replicas that work, some fall silent for a second or two and go
//! on, some stand still for good, and some have ended without a sign on their connections. From
//! outside they look alike at first. Ending the answer is wrong for the first kind and helps
//! nobody where no other replica can give it; waiting alone costs the client the time that
//! another replica would need. So the silence of a replica never ends an answer: it allows a
//! second send beside the first, where the request may run again. Only the end of the
//! replica's incarnation, or of the time that the client has, ends it sooner; and where a whole
//! host falls silent while others report, what its client may ask again is given up.
//!
//! Newer weights that come due bind the beginning of a run, not its end. A stream shows its
//! beginning by its events; the answer to a plain generation comes whole at its end, so its
//! beginning follows from the reports of the replica or from the prediction.

use crate::calls::BeginSign;

/// Silence of a replica from which another may answer as well if a sign says that it is away,
/// in ms: more than the pauses of a sound one under load.
const AWAY_SILENCE_MS: u64 = 800;

/// Silence before a plain answer from which another replica may answer as well, in ms.
const PLAIN_SILENCE_MS: u64 = 900;

/// Silence before the first event of a stream from which another replica may answer as well,
/// in ms: several latency targets, and less than the deadline of a client.
const FIRST_EVENT_SILENCE_MS: u64 = 1_600;

/// Silence within a stream from which another replica may take it over, in ms: less than the
/// gap of two seconds that every client bears.
const STREAM_SILENCE_MS: u64 = 1_500;

/// What the answer consists of, and how far it has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerStage {
    /// A plain answer, of which nothing is passed on before it is complete.
    Plain,
    /// A stream whose replica has sent no event yet.
    BeforeFirstEvent,
    /// A stream whose replica has sent events.
    Streaming,
}

/// What is known of a replica besides its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaSign {
    /// Nothing speaks against it.
    None,
    /// Its record was removed, or its host reports that the engine does not answer. It may go
    /// on all the same.
    Away,
    /// Its whole host is silent, reports included, while others report: it stands still, has no
    /// power or is cut off, and what waits there runs late or never.
    HostSilent,
    /// A later incarnation has taken its place: nothing more comes.
    Ended,
}

impl ReplicaSign {
    /// Name of the sign in logs; part of the interface.
    pub fn label(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Away => "away",
            Self::HostSilent => "host_silent",
            Self::Ended => "ended",
        }
    }
}

/// What becomes of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerDecision {
    /// It is waited for; the decision is due again after this time, in ms.
    Wait(u64),
    /// Another replica is asked as well, and whichever goes on first is passed on.
    SendSecond,
    /// It is ended, as its replica has.
    ReplicaEnded,
    /// It is ended: its replica may no longer begin it, as newer weights are due.
    WeightsDue,
    /// It is given up, so that its client can ask again while there is time.
    GiveUp,
}

/// An answer that is under way from one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerUnderWay {
    /// How far it has come.
    pub stage: AnswerStage,
    /// Time since its replica made progress with it, in ms.
    pub silent_ms: u64,
    /// What is known of the replica besides.
    pub sign: ReplicaSign,
    /// Whether the request may run more than once, so that its client asks again.
    pub is_repeatable: bool,
    /// Time until the replica may no longer begin the request, as newer weights come due, in
    /// ms; None without such a limit.
    pub weights_due_ms: Option<u64>,
    /// Whether the replica has begun the request.
    pub begin: BeginSign,
    /// Whether the request may run at another replica beside this one.
    pub may_send_second: bool,
}

impl AnswerUnderWay {
    /// Shortest silence for which the decision is other than to wait, in ms.
    pub const MIN_SILENCE_MS: u64 = AWAY_SILENCE_MS;

    /// Pause until the decision is due again while nothing but the signs may change, or no
    /// replica or budget was there for a second send, in ms.
    pub const RECHECK_MS: u64 = 300;

    /// What becomes of the answer now.
    pub fn decide(&self) -> AnswerDecision {
        match self.decide_by_silence() {
            AnswerDecision::ReplicaEnded => AnswerDecision::ReplicaEnded,
            _ if self.is_ended_by_weights() => AnswerDecision::WeightsDue,
            AnswerDecision::Wait(wait_ms) => AnswerDecision::Wait(self.wait_until_due_ms(wait_ms)),
            decision => decision,
        }
    }

    /// What becomes of the answer if no weights come due.
    fn decide_by_silence(&self) -> AnswerDecision {
        if self.sign == ReplicaSign::Ended && self.silent_ms >= Self::MIN_SILENCE_MS {
            return AnswerDecision::ReplicaEnded;
        }
        let limit_ms = self.second_send_silence_ms();
        if self.silent_ms < limit_ms {
            let until_sign_counts_ms = AWAY_SILENCE_MS.saturating_sub(self.silent_ms);
            let wait_ms = match until_sign_counts_ms {
                0 => (limit_ms - self.silent_ms).min(Self::RECHECK_MS),
                _ => until_sign_counts_ms,
            };
            return AnswerDecision::Wait(wait_ms);
        }
        if self.may_send_second {
            return AnswerDecision::SendSecond;
        }
        let is_usual_limit_over = self.silent_ms >= self.stage_silence_ms();
        if self.sign == ReplicaSign::HostSilent && self.is_repeatable && is_usual_limit_over {
            return AnswerDecision::GiveUp;
        }
        AnswerDecision::Wait(Self::RECHECK_MS)
    }

    /// Whether the replica has been silent for longer than a sound one usually is.
    pub fn is_silent(&self) -> bool {
        self.silent_ms >= self.second_send_silence_ms()
    }

    /// Whether the replica may no longer begin the request, and may not have begun it.
    fn is_ended_by_weights(&self) -> bool {
        if self.stage == AnswerStage::Streaming || self.weights_due_ms != Some(0) {
            return false;
        }
        let is_waiting_stream = self.stage == AnswerStage::BeforeFirstEvent;
        match self.begin {
            BeginSign::Running => is_waiting_stream && self.may_send_second,
            BeginSign::Predicted => is_waiting_stream && self.is_repeatable,
            BeginSign::Unknown => true,
        }
    }

    /// The wait, or the time until newer weights come due if that is shorter, in ms.
    fn wait_until_due_ms(&self, wait_ms: u64) -> u64 {
        match self.weights_due_ms {
            Some(due_ms) if due_ms > 0 && self.stage != AnswerStage::Streaming => {
                wait_ms.min(due_ms)
            }
            _ => wait_ms,
        }
    }

    /// Silence from which another replica may be asked as well, in ms.
    fn second_send_silence_ms(&self) -> u64 {
        match self.sign {
            ReplicaSign::None => self.stage_silence_ms(),
            ReplicaSign::Away | ReplicaSign::HostSilent | ReplicaSign::Ended => AWAY_SILENCE_MS,
        }
    }

    /// The same without a sign, in ms.
    fn stage_silence_ms(&self) -> u64 {
        match self.stage {
            AnswerStage::Plain => PLAIN_SILENCE_MS,
            AnswerStage::BeforeFirstEvent => FIRST_EVENT_SILENCE_MS,
            AnswerStage::Streaming => STREAM_SILENCE_MS,
        }
    }
}
