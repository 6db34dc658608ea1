use std::cell::RefCell;
use std::net::SocketAddr;

use crate::calls::BeginSign;
use crate::calls::CrashId;
use crate::calls::ReplicaSign;
use crate::fleet::AdmissionDecision;
use crate::fleet::AdmissionInput;
use crate::fleet::CandidateInput;
use crate::fleet::ColdShare;
use crate::fleet::DomainRules;
use crate::fleet::Exclusion;
use crate::fleet::RefusalCause;
use crate::fleet::Replica;
use crate::fleet::ReplicaKey;
use crate::fleet::ReplicaRecord;
use crate::fleet::Service;
use crate::fleet::Topic;
use crate::fleet::admit_request;
use crate::fleet::candidates;
use crate::fleet::cold_owners;
use crate::fleet::excluding_rule;
use crate::fleet::is_predicted_to_have_begun;
use crate::gateway::Dialect;
use crate::gateway::GatewayState;
use crate::gateway::TopicSink;
use crate::gateway::gateway_handle::Gateway;
use crate::gateway::heartbeat_targets::registered_names;
use crate::gateway::routed_request::RoutedRequest;
use crate::observe::Event;
use crate::observe::LogLine;

/// What limits the sends to the cold replicas of a service.
struct ColdLimit {
    share: ColdShare,
    start_ms: u64,
    owners: Vec<String>,
}

impl ColdLimit {
    /// Whether `replica` is warm, or the entry `own` may send it a request now.
    fn allows(&self, own: &str, replica: &Replica, now_ms: u64) -> bool {
        let (id, times) = (&replica.record.id, &replica.cold);
        !times.is_cold(self.start_ms, now_ms)
            || (self.share).may_send(own, &self.owners, id, times, now_ms)
    }
}

/// The replica that a request is sent to, with what the choice was based on.
#[derive(Debug)]
pub(super) struct ChosenReplica {
    /// Key in the table of replicas.
    pub(super) key: ReplicaKey,
    /// Identifier that the replica must confirm.
    pub(super) id: String,
    /// Service that it was chosen for.
    pub(super) service: String,
    /// Start of its incarnation.
    pub(super) born_unix_ms: Option<u64>,
    /// Time at which it was chosen and the request is sent.
    pub(super) sent_ms: u64,
    /// Address for requests.
    pub(super) address: SocketAddr,
    /// Predicted time to the first event or the response, in ms.
    pub(super) predicted_ms: f64,
    /// Only version of the weights that may serve the request; None for any.
    pub(super) weights_version: Option<u64>,
    /// Age of the last load report, in ms; None without a recent one.
    pub(super) load_age_ms: Option<u64>,
    /// Time within which the replica must begin the request, in ms; None for no limit.
    pub(super) begin_within_ms: Option<u64>,
}

impl ChosenReplica {
    /// The crash that ends its incarnation.
    pub(super) fn process_crash(&self) -> CrashId {
        CrashId {
            endpoint: self.id.clone(),
            incarnation: self.born_unix_ms.unwrap_or(0),
            crash_no: CrashId::PROCESS_CRASH,
        }
    }
}

/// Counts a request as in flight at a replica until it is dropped.
pub(super) struct InFlightGuard<'a> {
    state: &'a RefCell<GatewayState>,
    key: ReplicaKey,
    send_id: u64,
}

impl InFlightGuard<'_> {
    /// Records that events were sent to the client; only the first call has an effect.
    pub(super) fn record_events_sent(&self) {
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms();
        state
            .replicas
            .record_answer_start(self.key, self.send_id, now_ms);
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms();
        state.replicas.record_end(self.key, self.send_id, now_ms);
    }
}

impl GatewayState {
    /// Limit on the sends to the cold replicas of `service`; None if there is no limit or none
    /// of them is cold.
    fn cold_limit(&self, service: &Service, now_ms: u64) -> Option<ColdLimit> {
        let settings = &self.settings;
        let (overage, slack) = (settings.cold_overage, settings.cold_slack);
        let share = ColdShare::new(service.cold_per_s, overage, slack)?;
        let start_ms = service.cold_start_ms;
        let is_cold = |replica: &Replica| {
            replica.record.service == service.name && replica.cold.is_cold(start_ms, now_ms)
        };
        if !self.replicas.listed().any(|(_, replica)| is_cold(replica)) {
            return None;
        }
        let registered = registered_names(self.topic_table(Topic::Members));
        // Before an entry is first heard, it is silent since the start of this process.
        let silent_ms = |name: &str| self.peers.silent_ms(name, now_ms).unwrap_or(now_ms);
        Some(ColdLimit {
            share,
            start_ms,
            owners: cold_owners(&settings.name, &registered, silent_ms),
        })
    }

    /// Record of a later incarnation at the address that a request was sent to, of the service
    /// that it was sent to or of one that the configuration in force names.
    pub(super) fn later_incarnation(&self, chosen: &ChosenReplica) -> Option<&ReplicaRecord> {
        let born_unix_ms = chosen.born_unix_ms?;
        let catalog = self.catalog.as_deref();
        let mut listed = self.replicas.listed().map(|(_, replica)| &replica.record);
        listed.find(|record| {
            record.address == chosen.address
                && record.born_unix_ms > Some(born_unix_ms)
                && (record.service == chosen.service || record.is_in_use(catalog))
        })
    }

    /// What is known of the replica that a request was sent to, besides its connection.
    pub(super) fn replica_sign(&self, chosen: &ChosenReplica) -> ReplicaSign {
        if self.later_incarnation(chosen).is_some() {
            return ReplicaSign::Ended;
        }
        let now_ms = self.now_ms();
        let replica = self.replicas.get(chosen.key);
        let load = replica.recent_load(now_ms);
        if replica.is_silent(now_ms) && self.replicas.has_reports(&replica.record.service, now_ms) {
            ReplicaSign::HostSilent
        } else if replica.is_removed || load.is_some_and(|load| !load.is_up) {
            ReplicaSign::Away
        } else {
            ReplicaSign::None
        }
    }

    /// Whether the replica has begun the request that was sent to it, as far as its reports and
    /// the prediction tell.
    ///
    /// An engine whose queue is empty has begun all that it has. Others may wait behind a plain
    /// request that runs, while a stream that runs would have brought an event.
    pub(super) fn begin_sign(&self, chosen: &ChosenReplica, is_streaming: bool) -> BeginSign {
        let now_ms = self.now_ms();
        let replica = self.replicas.get(chosen.key);
        let is_same =
            replica.record.id == chosen.id && replica.record.born_unix_ms == chosen.born_unix_ms;
        let load = replica.load_after(chosen.sent_ms).filter(|_| is_same);
        if load.is_some_and(|load| load.is_up && load.queued == 0 && load.running > 0) {
            return BeginSign::Running;
        }
        let is_queued = is_streaming && load.is_some_and(|load| load.queued > 0);
        let heard_ms = if replica.is_silent(now_ms) {
            load.map_or(chosen.sent_ms, |load| load.received_ms)
        } else {
            now_ms
        };
        let elapsed_ms = heard_ms.saturating_sub(chosen.sent_ms);
        if !is_queued && is_predicted_to_have_begun(elapsed_ms, chosen.predicted_ms) {
            BeginSign::Predicted
        } else {
            BeginSign::Unknown
        }
    }
}

impl<D: Dialect> Gateway<D> {
    /// Chooses a replica; the error is the cause of a refusal and the time after which
    /// the client should retry, in ms. `has_begun` states whether a part of the response
    /// was sent to the client.
    pub(super) fn choose_replica(
        &self,
        request: &RoutedRequest,
        has_begun: bool,
    ) -> Result<ChosenReplica, (&'static str, u64)> {
        let mut state = self.state.borrow_mut();
        let seed = state.random_bits();
        let now_ms = state.now_ms();
        let model = request.facts.model.as_deref();
        let required = model.and_then(|model| state.required_version(model));
        let service = request.catalog.service(&request.service);
        let begin_within_ms = |model: &str, version: u64| state.begin_within_ms(model, version);
        let residency = state.residency(request);
        let cold_limit = service.and_then(|service| state.cold_limit(service, now_ms));
        let is_within_cold_share = |replica: &Replica| {
            let limit = cold_limit.as_ref();
            limit.is_none_or(|limit| limit.allows(&state.settings.name, replica, now_ms))
        };
        let input = CandidateInput {
            now_ms,
            service: &request.service,
            kind: request.route.kind,
            domains: DomainRules {
                residency: &residency,
                evacuations: &state.evacuations,
                regions: &state.settings.regions,
            },
            tried_replicas: &request.tried_replicas,
            model,
            begin_within_ms: &begin_within_ms,
            is_within_cold_share: &is_within_cold_share,
        };
        let usable = candidates(&state.replicas, &input);
        let held_back = cold_limit.as_ref().map_or(0, |_| {
            let is_held = |(key, replica): &(ReplicaKey, &Replica)| {
                input.exclusion(*key, replica) == Some(Exclusion::ColdShare)
            };
            state.replicas.listed().filter(is_held).count()
        });
        let begin_limits_ms: Vec<Option<u64>> = usable
            .iter()
            .map(|(_, replica)| input.limit_ms(replica))
            .collect();
        // The requests of the other entries are assumed to go to the replicas with free
        // slots, or to all usable ones if none has any.
        let free_replicas = usable.iter().filter(|(_, r)| r.has_free_slots(0.0, now_ms));
        let candidate_count = match free_replicas.count() {
            0 => usable.len().max(1),
            free_replicas => free_replicas,
        };
        let peer_requests_per_replica_ms =
            state.peer_requests_per_ms(&request.service) / candidate_count as f64;
        let admission = admit_request(&AdmissionInput {
            now_ms,
            replicas: &usable,
            engine: service.and_then(|service| service.engine.as_ref()),
            failure_domain: &state.settings.failure_domain,
            entry_count: state.entry_count(),
            peer_requests_per_ms: peer_requests_per_replica_ms,
            begin_within_ms: &begin_limits_ms,
            prompt_tokens: request.facts.prompt_tokens,
            waited_ms: request.waited_ms(),
            was_refused_before: request.waited_before_ms > 0,
            has_partial_answer: has_begun,
            target_latency_ms: request.route.target_latency_ms,
            remaining_ms: request.left_ms(),
            seed,
        });
        if held_back > 0 {
            self.record_held_back(request, held_back, &admission);
        }
        match admission {
            AdmissionDecision::Send {
                replica: key,
                predicted_ms,
            } => {
                let replica = state.replicas.get(key);
                Ok(ChosenReplica {
                    key,
                    id: replica.record.id.clone(),
                    service: request.service.clone(),
                    born_unix_ms: replica.record.born_unix_ms,
                    sent_ms: now_ms,
                    address: replica.record.address,
                    predicted_ms,
                    weights_version: required
                        .zip(model)
                        .map(|(required, model)| (required, replica.weights_version(model, now_ms)))
                        .filter(|(required, version)| version >= required)
                        .map(|(_, version)| version),
                    begin_within_ms: model.and_then(|model| {
                        begin_within_ms(model, replica.weights_version(model, now_ms))
                    }),
                    load_age_ms: replica
                        .recent_load(now_ms)
                        .map(|load| now_ms - load.received_ms),
                })
            }
            AdmissionDecision::Refuse {
                cause: RefusalCause::NoReplica,
                retry_after_ms,
            } => {
                let pause_ms = time_to_first_pause_end(&state, &input);
                let retry_after_ms = (pause_ms + retry_after_ms).min(request.left_ms() / 3);
                let rule = excluding_rule(&state.replicas, &input);
                let cause = rule.map_or(RefusalCause::NoReplica.label(), Exclusion::label);
                Err((cause, retry_after_ms))
            }
            AdmissionDecision::Refuse {
                cause,
                retry_after_ms,
            } => Err((cause.label(), retry_after_ms)),
        }
    }

    /// Counts and logs that cold replicas were left out, since this entry has sent them as much
    /// as it may.
    fn record_held_back(
        &self,
        request: &RoutedRequest,
        replicas: usize,
        admission: &AdmissionDecision,
    ) {
        let outcome = match admission {
            AdmissionDecision::Send { .. } => "sent",
            AdmissionDecision::Refuse { .. } => "refused",
        };
        self.metrics.record_cold_held_back(outcome);
        LogLine::new(Event::ColdReplicasHeldBack)
            .text("id", &request.facts.attempt_id)
            .number("replicas", replicas)
            .text("outcome", outcome)
            .enqueue();
    }

    /// Counts and logs a send to the chosen replica.
    pub(super) fn register_send<'a>(
        &'a self,
        request: &mut RoutedRequest,
        chosen: &ChosenReplica,
    ) -> InFlightGuard<'a> {
        let mut state = self.state.borrow_mut();
        let now_ms = state.now_ms();
        let send_id = state
            .replicas
            .record_send(chosen.key, chosen.predicted_ms, now_ms);
        if request.sends == 0 && request.tried_replicas.is_empty() {
            state.retry_budget(&request.service).record_request(now_ms);
        }
        request.tried_replicas.push(chosen.key);
        LogLine::new(Event::RequestPlaced)
            .text("id", &request.facts.attempt_id)
            .text("replica", &chosen.id)
            .number("predicted_ms", chosen.predicted_ms as i64)
            .number(
                "load_age_ms",
                chosen.load_age_ms.map_or(-1, |age| age as i64),
            )
            .number("config", request.catalog.version)
            .number("left_ms", request.left_ms())
            .enqueue();
        InFlightGuard {
            state: &self.state,
            key: chosen.key,
            send_id,
        }
    }
}

/// Time until the first replica that pauses and that the request may be sent to takes requests
/// again, in ms; 0 if none pauses.
fn time_to_first_pause_end(state: &GatewayState, input: &CandidateInput<'_>) -> u64 {
    let now_ms = input.now_ms;
    let replicas = state.replicas.listed();
    replicas
        .map(|(_, replica)| replica)
        .filter(|replica| replica.record.service == input.service)
        .filter(|replica| {
            let failure_domain = &replica.record.failure_domain;
            input.domains.exclusion(failure_domain).is_none()
        })
        .filter_map(Replica::pause_end_ms)
        .filter(|end_ms| *end_ms > now_ms)
        .min()
        .map_or(0, |end_ms| end_ms - now_ms)
}
