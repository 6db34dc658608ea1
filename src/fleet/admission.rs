use crate::fleet::EngineProfile;
use crate::fleet::Replica;
use crate::fleet::ReplicaKey;
use crate::fleet::RouteKind;

/// Share of the latency target that waiting and predicted time together may use; the
/// rest is a reserve for errors of the prediction.
const MAX_TARGET_SHARE: f64 = 0.9;

/// Share of an engine's slots up to which it takes late requests, which have missed their
/// target or are retried after a refusal; the other slots are kept for requests that can
/// still meet their target.
const MAX_LATE_SLOT_SHARE: f64 = 0.8;

/// Predicted time subtracted for a replica in the same failure domain, in ms.
const SAME_DOMAIN_BONUS_MS: f64 = 40.0;

/// Largest random time added to a prediction, in ms, so that entries with the same load
/// reports do not all choose the same replica.
const MAX_JITTER_MS: f64 = 20.0;

/// Shortest and longest time after which a refused client should retry, in ms.
const RETRY_AFTER_RANGE_MS: (f64, f64) = (400.0, 1_600.0);

/// Factor by which a replica's failure ratio raises its predicted latency.
const FAILURE_PENALTY: f64 = 6.0;

/// Smallest predicted latency of a replica without an engine, in ms. It also applies to
/// a replica that has not answered yet, so that it gets requests.
const MIN_LATENCY_MS: f64 = 10.0;

/// Excess delay from which an engine gets no more requests, in ms: far more than the wait
/// in its queue can explain.
const MAX_EXCESS_DELAY_MS: f64 = 800.0;

/// Requests of this entry for each slot from which a replica without an engine gets no
/// more requests.
const MAX_LOAD_PER_SLOT: f64 = 2.0;

/// Factor by which few requests begin later than predicted, and the time to add, in ms: 95 in
/// 100 begin up to 440 ms late where 200 ms are predicted.
const PREDICTION_ERROR_FACTOR: f64 = 2.0;
const BEGIN_RESERVE_MS: f64 = 240.0;

/// Silence of a sound replica that a request must bear which can't be moved to another one, in
/// ms.
const SOUND_SILENCE_MS: u64 = 1_000;

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// No replica of the service accepts requests.
    NoReplica,
    /// No replica has the capacity to answer in time.
    Overload,
    /// The client's deadline has passed.
    Expired,
}

impl RefusalCause {
    /// Stable name in log lines and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoReplica => "no_replica",
            Self::Overload => "overload",
            Self::Expired => "expired",
        }
    }
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionDecision {
    /// The request is sent to a replica.
    Send {
        /// Replica that it is sent to.
        replica: ReplicaKey,
        /// Predicted time to the first event or the answer, in ms.
        predicted_ms: f64,
    },
    /// The request is refused.
    Refuse {
        /// Reason of the refusal.
        cause: RefusalCause,
        /// Time after which the client should retry, in ms.
        retry_after_ms: u64,
    },
}

/// Input of [`admit_request`].
#[derive(Debug)]
pub struct AdmissionInput<'a> {
    /// Current monotonic time.
    pub now_ms: u64,
    /// Usable replicas of the service to which the request was not sent yet.
    pub replicas: &'a [(ReplicaKey, &'a Replica)],
    /// Engine profile of the service, if it has one.
    pub engine: Option<&'a EngineProfile>,
    /// Failure domain of this entry.
    pub failure_domain: &'a str,
    /// Number of live entries, this one included.
    pub entry_count: u32,
    /// Estimated requests per ms that the other entries together send to one replica.
    pub peer_requests_per_ms: f64,
    /// For each of the replicas, the time within which it must begin the request, in ms;
    /// None for no limit.
    pub begin_within_ms: &'a [Option<u64>],
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Time since the request arrived, in ms.
    pub waited_ms: u64,
    /// Whether the client was refused before and retries.
    pub was_refused_before: bool,
    /// Whether the client has received a part of the answer already.
    pub has_partial_answer: bool,
    /// Latency target of the route, in ms.
    pub target_latency_ms: u64,
    /// Time until the client's deadline, in ms.
    pub remaining_ms: u64,
    /// Seed of the random parts of the decision.
    pub seed: u64,
}

/// Chooses the replica for a request, or refuses the request at once.
///
/// The request goes to the replica with the shortest predicted time. It is refused when
/// no replica is predicted to meet the latency target, since it would only delay other
/// requests. A request whose target has passed already, or whose client retries after a
/// refusal, goes only to an engine with enough free slots; one that resumes a stream goes
/// to any engine at which no request waits.
pub fn admit_request(input: &AdmissionInput<'_>) -> AdmissionDecision {
    if input.remaining_ms == 0 {
        return refuse(RefusalCause::Expired, input);
    }
    let mut best: Option<(f64, f64, ReplicaKey)> = None;
    for (index, (key, replica)) in input.replicas.iter().enumerate() {
        let Some(predicted_ms) = predicted_answer_ms(input, replica) else {
            continue;
        };
        let begin_within_ms = input.begin_within_ms.get(index).copied().flatten();
        if !begins_in_time(begin_within_ms, predicted_ms) {
            continue;
        }
        let mut cost_ms = predicted_ms + MAX_JITTER_MS * unit_random(input.seed, index);
        if replica.record.failure_domain == input.failure_domain {
            cost_ms -= SAME_DOMAIN_BONUS_MS;
        }
        if best.is_none_or(|best| cost_ms < best.0) {
            best = Some((cost_ms, predicted_ms, *key));
        }
    }
    match best {
        Some((_, predicted_ms, replica)) => AdmissionDecision::Send {
            replica,
            predicted_ms,
        },
        None if input.replicas.is_empty() => refuse(RefusalCause::NoReplica, input),
        None => refuse(RefusalCause::Overload, input),
    }
}

/// Whether a request that is predicted to begin after `predicted_ms` begins within the time
/// that its replica may still use its weights.
///
/// Load pattern: a version is declared under full load, and the replicas load it one after
/// the other. Those whose turn comes last serve until shortly before the deadline; if they
/// were spared from a fixed time before it, the fleet would lose them all at once.
pub fn begins_in_time(begin_within_ms: Option<u64>, predicted_ms: f64) -> bool {
    begin_within_ms.is_none_or(|within_ms| {
        predicted_ms * PREDICTION_ERROR_FACTOR + BEGIN_RESERVE_MS <= within_ms as f64
    })
}

/// Time within which a replica must begin a request of this kind to be chosen for it, in ms, if
/// it may use its weights for `begin_within_ms`.
///
/// A stream that may be resumed moves to another replica when its own has not begun it in time.
/// Any other request would be lost, or its beginning is not seen: it gets a reserve in which its
/// replica may fall silent and go on.
pub fn placement_limit_ms(begin_within_ms: Option<u64>, kind: RouteKind) -> Option<u64> {
    match kind {
        RouteKind::Streaming { resumable: true } => begin_within_ms,
        RouteKind::Streaming { resumable: false }
        | RouteKind::Idempotent
        | RouteKind::NonIdempotent => {
            begin_within_ms.map(|within_ms| within_ms.saturating_sub(SOUND_SILENCE_MS))
        }
    }
}

/// Whether a request has begun, as far as the prediction tells, `elapsed_ms` after it was sent.
pub fn is_predicted_to_have_begun(elapsed_ms: u64, predicted_ms: f64) -> bool {
    begins_in_time(Some(elapsed_ms), predicted_ms)
}

/// Predicted time to the first event or the answer at `replica`, in ms; None when it
/// lacks the capacity for the request.
fn predicted_answer_ms(input: &AdmissionInput<'_>, replica: &Replica) -> Option<f64> {
    let Some(engine) = input.engine else {
        return predicted_ms_without_engine(input, replica);
    };
    let pace = replica
        .recent_load(input.now_ms)
        .map_or(1.0, |load| load.pace);
    let requests = replica
        .estimated_requests(input.peer_requests_per_ms, input.now_ms)
        .unwrap_or_else(|| replica.in_flight.saturating_mul(input.entry_count));
    let excess_delay_ms = replica.excess_delay_ms(input.now_ms);
    let unread = replica.unstarted_requests(input.now_ms);
    let predicted_ms =
        pace * predicted_first_event_ms(engine, requests, f64::from(input.prompt_tokens));
    let unread_ms = pace * unread_prompts_ms(engine, requests, unread);
    let time_budget_ms = input.target_latency_ms as f64 * MAX_TARGET_SHARE - input.waited_ms as f64;
    let has_capacity = if excess_delay_ms >= MAX_EXCESS_DELAY_MS {
        false
    } else if input.has_partial_answer {
        requests <= engine.slots
    } else if time_budget_ms > 0.0 && !input.was_refused_before {
        predicted_ms <= time_budget_ms
    } else {
        f64::from(requests) < f64::from(engine.slots) * MAX_LATE_SLOT_SHARE
    };
    // Slots that are free are used, even if the prompts before are read first.
    has_capacity.then_some(predicted_ms + unread_ms + excess_delay_ms)
}

/// Predicted time to the answer at `replica` of a service without an engine, in ms, from
/// its past answers; None when it lacks the capacity for the request.
fn predicted_ms_without_engine(input: &AdmissionInput<'_>, replica: &Replica) -> Option<f64> {
    let slots = f64::from(replica.record.slots.max(1));
    let load_per_slot = f64::from(replica.in_flight) / slots;
    if load_per_slot >= MAX_LOAD_PER_SLOT {
        return None;
    }
    let latency_ms = replica.mean_latency_ms().max(MIN_LATENCY_MS);
    let failure_ratio = replica.failure_ratio(input.now_ms);
    let service_ms =
        latency_ms * (1.0 + 2.0 * load_per_slot) * (1.0 + FAILURE_PENALTY * failure_ratio);
    Some(replica.excess_delay_ms(input.now_ms) + service_ms)
}

/// Predicted time until an engine with `requests` requests sends the first event of one
/// more, whose prompt has `prompt_tokens` tokens, in ms.
///
/// With a free slot, this is one decode pass and 1.5 times the processing of the prompt,
/// which shares the engine with the passes of the running requests. Without one, it adds
/// the time until enough running requests have ended to give a slot to each request that
/// waits, this one included.
pub fn predicted_first_event_ms(engine: &EngineProfile, requests: u32, prompt_tokens: f64) -> f64 {
    let slots = f64::from(engine.slots.max(1));
    let running = f64::from(requests).min(slots);
    let context_1k_tokens =
        running * (engine.mean_prompt_tokens + engine.mean_answer_tokens / 2.0) / 1000.0;
    let step_ms = engine.step_ms
        + engine.step_per_request_ms * running
        + engine.step_per_1k_context_ms * context_1k_tokens;
    let pass_ms = step_ms * f64::from(engine.steps_per_pass.max(1));
    let prompt_ms = prompt_tokens / engine.prompt_tokens_per_ms.max(0.001);
    let request_ms = engine.mean_answer_tokens * step_ms
        + slots * engine.mean_prompt_tokens / engine.prompt_tokens_per_ms.max(0.001);
    let waiting = (f64::from(requests) + 1.0 - slots).max(0.0);
    pass_ms + 1.5 * prompt_ms + waiting * request_ms / slots
}

/// Time in which an engine reads the prompts of `unread` of its `requests`, which it reads
/// before that of one more, in ms; those that wait for a slot are left out, as
/// [`predicted_first_event_ms`] counts them.
///
/// Load pattern: requests arrive in clumps while slots are free everywhere. Placed on one
/// engine, each is read only after the others.
fn unread_prompts_ms(engine: &EngineProfile, requests: u32, unread: u32) -> f64 {
    let waiting = requests.saturating_sub(engine.slots);
    let mean_prompt_ms = engine.mean_prompt_tokens / engine.prompt_tokens_per_ms.max(0.001);
    f64::from(unread.saturating_sub(waiting)) * mean_prompt_ms
}

/// Refusal with a random retry time, of at most a third of the remaining time.
fn refuse(cause: RefusalCause, input: &AdmissionInput<'_>) -> AdmissionDecision {
    let (min_ms, max_ms) = RETRY_AFTER_RANGE_MS;
    let random_ms = min_ms + (max_ms - min_ms) * unit_random(input.seed, usize::MAX);
    let third_of_remaining_ms = input.remaining_ms as f64 / 3.0;
    AdmissionDecision::Refuse {
        cause,
        retry_after_ms: random_ms.min(third_of_remaining_ms) as u64,
    }
}

/// Uniform pseudo-random number from 0 to 1.
fn unit_random(seed: u64, index: usize) -> f64 {
    let bits = crate::weights::mix64(seed ^ (index as u64).rotate_left(32));
    (bits >> 11) as f64 / (1u64 << 53) as f64
}
