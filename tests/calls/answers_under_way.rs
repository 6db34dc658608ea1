//! What becomes of an answer that is under way.

use bergamotfork::calls::AnswerDecision;
use bergamotfork::calls::AnswerStage;
use bergamotfork::calls::AnswerUnderWay;
use bergamotfork::calls::BeginSign;
use bergamotfork::calls::ReplicaSign;

const STAGES: [AnswerStage; 3] = [
    AnswerStage::Plain,
    AnswerStage::BeforeFirstEvent,
    AnswerStage::Streaming,
];

/// Gap between events that every client bears, in ms.
const CLIENT_GAP_MS: u64 = 2_000;

fn answer(stage: AnswerStage, silent_ms: u64, sign: ReplicaSign, second: bool) -> AnswerUnderWay {
    AnswerUnderWay {
        stage,
        silent_ms,
        sign,
        is_repeatable: second,
        weights_due_ms: None,
        begin: BeginSign::Unknown,
        may_send_second: second,
    }
}

#[test]
fn decide_only_replica_silent_waits() {
    for stage in STAGES {
        for sign in [ReplicaSign::None, ReplicaSign::Away] {
            for silent_ms in 0..20_000 {
                let decision = answer(stage, silent_ms, sign, false).decide();
                assert!(
                    matches!(decision, AnswerDecision::Wait(wait_ms) if wait_ms > 0),
                    "{stage:?} {sign:?} {silent_ms}: {decision:?}"
                );
            }
        }
    }
}

#[test]
fn decide_other_replica_second_send_before_client_gives_up() {
    for stage in STAGES {
        for sign in [ReplicaSign::None, ReplicaSign::Away] {
            let decision = answer(stage, CLIENT_GAP_MS, sign, true).decide();
            assert_eq!(decision, AnswerDecision::SendSecond, "{stage:?} {sign:?}");
        }
    }
}

#[test]
fn decide_short_silence_waits() {
    for stage in STAGES {
        for sign in [ReplicaSign::None, ReplicaSign::Away, ReplicaSign::Ended] {
            let decision = answer(stage, 700, sign, true).decide();
            assert!(
                matches!(decision, AnswerDecision::Wait(_)),
                "{stage:?} {sign:?}: {decision:?}"
            );
        }
    }
}

#[test]
fn decide_replica_away_second_send_sooner() {
    for stage in STAGES {
        let sooner = answer(stage, 800, ReplicaSign::Away, true).decide();
        assert_eq!(sooner, AnswerDecision::SendSecond, "{stage:?}");
        let usual = answer(stage, 800, ReplicaSign::None, true).decide();
        assert!(matches!(usual, AnswerDecision::Wait(_)), "{stage:?}");
    }
}

/// What its client may ask again is given up at a silent host, once nobody else can take it;
/// what may run only once is waited for.
#[test]
fn decide_silent_host_given_up_if_repeatable() {
    for stage in STAGES {
        let mut waiting = answer(stage, CLIENT_GAP_MS, ReplicaSign::HostSilent, true);
        assert_eq!(waiting.decide(), AnswerDecision::SendSecond, "{stage:?}");
        waiting.may_send_second = false;
        assert_eq!(waiting.decide(), AnswerDecision::GiveUp, "{stage:?}");
        waiting.silent_ms = 800;
        assert!(matches!(waiting.decide(), AnswerDecision::Wait(_)));
        waiting.silent_ms = 20_000;
        waiting.is_repeatable = false;
        assert!(matches!(waiting.decide(), AnswerDecision::Wait(_)));
    }
}

#[test]
fn decide_replica_ended_ends_answer() {
    for stage in STAGES {
        for second in [false, true] {
            let decision = answer(stage, 800, ReplicaSign::Ended, second).decide();
            assert_eq!(decision, AnswerDecision::ReplicaEnded, "{stage:?}");
        }
    }
}

/// The decision is due again no later than it may become another one.
#[test]
fn decide_wait_ends_before_next_decision() {
    for stage in STAGES {
        for sign in [ReplicaSign::None, ReplicaSign::Away] {
            for silent_ms in 0..3_000 {
                let now = answer(stage, silent_ms, sign, true);
                let AnswerDecision::Wait(wait_ms) = now.decide() else {
                    continue;
                };
                for later_ms in silent_ms..silent_ms + wait_ms {
                    let later = answer(stage, later_ms, sign, true).decide();
                    assert!(
                        matches!(later, AnswerDecision::Wait(_)),
                        "{stage:?} {sign:?} {silent_ms} {later_ms}"
                    );
                }
            }
        }
    }
}

/// Weights that come due: who may go on, for each kind of request.
///
/// Guards against LOST: an answer that has begun in time is ended.
#[test]
fn decide_weights_due_ends_what_may_not_have_begun() {
    // Whether the request may run again, and whether another replica may take it now.
    let once = (false, false);
    let only = (true, false);
    let other = (true, true);
    let plain = AnswerStage::Plain;
    let waiting = AnswerStage::BeforeFirstEvent;
    let rows = [
        (plain, BeginSign::Running, once, false),
        (plain, BeginSign::Running, only, false),
        (plain, BeginSign::Running, other, false),
        (plain, BeginSign::Predicted, once, false),
        (plain, BeginSign::Predicted, only, false),
        (plain, BeginSign::Predicted, other, false),
        (plain, BeginSign::Unknown, once, true),
        (plain, BeginSign::Unknown, only, true),
        (plain, BeginSign::Unknown, other, true),
        (waiting, BeginSign::Running, once, false),
        (waiting, BeginSign::Running, only, false),
        (waiting, BeginSign::Running, other, true),
        (waiting, BeginSign::Predicted, once, false),
        (waiting, BeginSign::Predicted, only, true),
        (waiting, BeginSign::Predicted, other, true),
        (waiting, BeginSign::Unknown, once, true),
        (waiting, BeginSign::Unknown, only, true),
        (waiting, BeginSign::Unknown, other, true),
    ];
    for (stage, begin, (is_repeatable, may_send_second), is_ended) in rows {
        for silent_ms in [100, 850, 1_200, 1_700] {
            let answer = AnswerUnderWay {
                weights_due_ms: Some(0),
                is_repeatable,
                begin,
                ..answer(stage, silent_ms, ReplicaSign::None, may_send_second)
            };
            let decision = answer.decide();
            let is_due = decision == AnswerDecision::WeightsDue;
            assert_eq!(is_due, is_ended, "{answer:?}: {decision:?}");
            assert_ne!(decision, AnswerDecision::Wait(0), "{answer:?}");
        }
    }
}

#[test]
fn decide_weights_due_begun_stream_goes_on() {
    for begin in [BeginSign::Running, BeginSign::Predicted, BeginSign::Unknown] {
        let answer = AnswerUnderWay {
            weights_due_ms: Some(0),
            begin,
            ..answer(AnswerStage::Streaming, 100, ReplicaSign::None, false)
        };
        assert!(matches!(answer.decide(), AnswerDecision::Wait(wait_ms) if wait_ms > 0));
    }
}

#[test]
fn decide_weights_not_due_waits_no_longer_than_until_then() {
    for stage in [AnswerStage::Plain, AnswerStage::BeforeFirstEvent] {
        let answer = AnswerUnderWay {
            weights_due_ms: Some(20),
            ..answer(stage, 100, ReplicaSign::None, true)
        };
        assert_eq!(answer.decide(), AnswerDecision::Wait(20), "{stage:?}");
    }
}
