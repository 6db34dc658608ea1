use crate::fleet::EngineProfile;
use crate::fleet::Replica;
use crate::fleet::ReplicaKey;

/// Share of the target that a prediction may fill; the rest is for its error.
const TARGET_FILL: f64 = 0.9;

/// Share of the slots that late requests may fill: on-time work goes before.
const LATE_SLOT_FILL: f64 = 0.8;

/// Advantage of a replica in the own failure domain, in ms of predicted time.
const NEARNESS_BONUS_MS: f64 = 40.0;

/// Random part of a prediction, in ms, so that entries that see the same loads
/// do not all choose the same replica.
const SPREAD_MS: f64 = 20.0;

/// Shortest and longest time after which a refused client is asked to come back.
const RETRY_AFTER_MS: (f64, f64) = (400.0, 1_600.0);

/// How much worse a replica looks for each share of failures.
const FAILURE_PENALTY: f64 = 6.0;

/// Least predicted time of a plain answer, in ms; also for a replica that was not
/// observed yet, so that it is tried.
const LEAST_LATENCY_MS: f64 = 10.0;

/// Delay beyond the prediction at which an engine gets nothing more, in ms: well
/// beyond what its queue explains.
const SICK_DELAY_MS: f64 = 800.0;

/// Load of a plain service, in requests of this entry for each slot, at which
/// more are refused.
const PLAIN_FILL: f64 = 2.0;

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// No replica of the service takes work.
    NoReplica,
    /// No replica would answer in time.
    Overload,
    /// The client's time is over.
    Expired,
}

impl RefusalCause {
    /// Stable name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoReplica => "no_replica",
            Self::Overload => "overload",
            Self::Expired => "expired",
        }
    }
}

/// What becomes of a request now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// It goes to a replica.
    Send {
        /// Where.
        replica: ReplicaKey,
        /// Predicted time to the first event or the answer.
        predicted_ms: f64,
    },
    /// It is refused.
    Refuse {
        /// Why.
        cause: RefusalCause,
        /// When the client should come back.
        retry_after_ms: u64,
    },
}

/// All that an admission depends on.
#[derive(Debug)]
pub struct AdmissionInput<'a> {
    /// Steady time.
    pub now_ms: u64,
    /// Usable replicas of the service that were not tried yet.
    pub replicas: &'a [(ReplicaKey, &'a Replica)],
    /// Engine of the service, if it has one.
    pub engine: Option<&'a EngineProfile>,
    /// Failure domain of this entry.
    pub failure_domain: &'a str,
    /// Entries that are alive.
    pub entries: u32,
    /// Requests that the other entries send to one replica in a ms.
    pub others_per_ms: f64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Time since the request arrived.
    pub waited_ms: u64,
    /// Whether the client was refused before and has come back.
    pub is_return: bool,
    /// Whether the client has part of the answer already.
    pub has_begun: bool,
    /// Time within which the answer is on time.
    pub target_ms: u64,
    /// Time that is left in all.
    pub left_ms: u64,
    /// Random bits.
    pub seed: u64,
}

/// Decides where a request goes, or refuses it at once.
///
/// A request goes to the replica with the least predicted time. It is refused
/// when the prediction misses its target, since it would only delay others, and
/// a request whose target has passed already runs only where slots are free.
pub fn admit(input: &AdmissionInput<'_>) -> Admission {
    if input.left_ms == 0 {
        return refuse(RefusalCause::Expired, input);
    }
    let mut best: Option<(f64, f64, ReplicaKey)> = None;
    for (index, (key, replica)) in input.replicas.iter().enumerate() {
        let Some(predicted_ms) = predicted_ms(input, replica) else {
            continue;
        };
        let mut cost_ms = predicted_ms + SPREAD_MS * noise(input.seed, index);
        if replica.record.failure_domain == input.failure_domain {
            cost_ms -= NEARNESS_BONUS_MS;
        }
        if best.is_none_or(|best| cost_ms < best.0) {
            best = Some((cost_ms, predicted_ms, *key));
        }
    }
    match best {
        Some((_, predicted_ms, replica)) => Admission::Send {
            replica,
            predicted_ms,
        },
        None if input.replicas.is_empty() => refuse(RefusalCause::NoReplica, input),
        None => refuse(RefusalCause::Overload, input),
    }
}

/// Predicted time to the answer at `replica`; None when it has no room.
fn predicted_ms(input: &AdmissionInput<'_>, replica: &Replica) -> Option<f64> {
    let Some(engine) = input.engine else {
        return plain_predicted_ms(input, replica);
    };
    let pace = replica
        .fresh_load(input.now_ms)
        .map_or(1.0, |load| load.pace);
    let requests = replica
        .known_requests(input.others_per_ms, input.now_ms)
        .unwrap_or_else(|| replica.in_flight.saturating_mul(input.entries));
    let delay_ms = replica.delay_ms(input.now_ms);
    let predicted_ms =
        pace * predicted_first_event_ms(engine, requests, f64::from(input.prompt_tokens));
    let on_time_ms = input.target_ms as f64 * TARGET_FILL - input.waited_ms as f64;
    let fits = if delay_ms >= SICK_DELAY_MS {
        false
    } else if input.has_begun {
        requests <= engine.slots
    } else if on_time_ms > 0.0 && !input.is_return {
        predicted_ms <= on_time_ms
    } else {
        f64::from(requests) < f64::from(engine.slots) * LATE_SLOT_FILL
    };
    fits.then_some(predicted_ms + delay_ms)
}

fn plain_predicted_ms(input: &AdmissionInput<'_>, replica: &Replica) -> Option<f64> {
    let slots = f64::from(replica.record.slots.max(1));
    let fill = f64::from(replica.in_flight) / slots;
    if fill >= PLAIN_FILL {
        return None;
    }
    let latency_ms = replica.latency_ms().max(LEAST_LATENCY_MS);
    let failures = replica.failure_share(input.now_ms);
    let busy_ms = latency_ms * (1.0 + 2.0 * fill) * (1.0 + FAILURE_PENALTY * failures);
    Some(replica.delay_ms(input.now_ms) + busy_ms)
}

/// Time until an engine with `requests` requests gives the first event of one
/// more with `prompt_tokens` tokens.
///
/// A free slot costs half a pass and the reading, which shares the engine with
/// the passes of the others; without one, as many requests must end as wait.
pub fn predicted_first_event_ms(engine: &EngineProfile, requests: u32, prompt_tokens: f64) -> f64 {
    let slots = f64::from(engine.slots.max(1));
    let running = f64::from(requests).min(slots);
    let context_k = running * (engine.usual_prompt + engine.usual_answer / 2.0) / 1000.0;
    let step_ms = engine.step_ms
        + engine.step_per_request_ms * running
        + engine.step_per_1k_context_ms * context_k;
    let pass_ms = step_ms * f64::from(engine.steps_per_pass.max(1));
    let read_ms = prompt_tokens / engine.read_per_ms.max(0.001);
    let request_ms =
        engine.usual_answer * step_ms + slots * engine.usual_prompt / engine.read_per_ms.max(0.001);
    let ahead = (f64::from(requests) + 1.0 - slots).max(0.0);
    pass_ms + 1.5 * read_ms + ahead * request_ms / slots
}

fn refuse(cause: RefusalCause, input: &AdmissionInput<'_>) -> Admission {
    let (shortest_ms, longest_ms) = RETRY_AFTER_MS;
    let wanted_ms = shortest_ms + (longest_ms - shortest_ms) * noise(input.seed, usize::MAX);
    let third_ms = input.left_ms as f64 / 3.0;
    Admission::Refuse {
        cause,
        retry_after_ms: wanted_ms.min(third_ms) as u64,
    }
}

/// A number from 0 to 1.
fn noise(seed: u64, index: usize) -> f64 {
    let bits = crate::weights::mix64(seed ^ (index as u64).rotate_left(32));
    (bits >> 11) as f64 / (1u64 << 53) as f64
}
