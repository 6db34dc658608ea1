//! Which replicas a request may be sent to, and why the others are left out.
//!
//! The filters apply in a fixed order, and the first that fails is the reason. What remains
//! is weighed by [`crate::fleet::admit_request`].

use crate::fleet::DomainRules;
use crate::fleet::Replica;
use crate::fleet::ReplicaKey;
use crate::fleet::ReplicaTable;
use crate::fleet::RouteKind;
use crate::fleet::begins_in_time;
use crate::fleet::placement_limit_ms;

/// Why a replica gets no request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exclusion {
    /// It serves another service.
    OtherService,
    /// It leaves, pauses, is loading, or was found unreachable or down.
    Unusable,
    /// Its region is not among those in which the request may be served, or is not known.
    Residency,
    /// Its failure domain is evacuated.
    Evacuated,
    /// The request was sent to it before.
    AlreadyTried,
    /// It has no weights of the model.
    NoWeights,
    /// Its version of the weights is due to be replaced before the request could begin.
    WeightsDue,
    /// It is cold, and this entry has sent it as much as it may.
    ColdShare,
}

impl Exclusion {
    /// Stable name in log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::OtherService => "other_service",
            Self::Unusable => "unusable",
            Self::Residency => "residency",
            Self::Evacuated => "evacuated",
            Self::AlreadyTried => "already_tried",
            Self::NoWeights => "no_weights",
            Self::WeightsDue => "weights_due",
            Self::ColdShare => "cold_share",
        }
    }
}

/// What the filters need to know of a request.
pub struct CandidateInput<'a> {
    /// Current monotonic time.
    pub now_ms: u64,
    /// Name of the service.
    pub service: &'a str,
    /// Whether and how the request may be repeated.
    pub kind: RouteKind,
    /// Failure domains that it may be sent to.
    pub domains: DomainRules<'a>,
    /// Replicas that it was sent to before.
    pub tried_replicas: &'a [ReplicaKey],
    /// Model that it asks for.
    pub model: Option<&'a str>,
    /// Time within which an engine with this version of a model must begin a request, in ms;
    /// None for no limit.
    pub begin_within_ms: &'a dyn Fn(&str, u64) -> Option<u64>,
    /// Whether the replica is warm, or this entry may send it one request more.
    pub is_within_cold_share: &'a dyn Fn(&Replica) -> bool,
}

impl CandidateInput<'_> {
    /// Time within which `replica` must begin the request, in ms; None for no limit.
    pub fn limit_ms(&self, replica: &Replica) -> Option<u64> {
        let model = self.model?;
        let version = replica.weights_version(model, self.now_ms);
        placement_limit_ms((self.begin_within_ms)(model, version), self.kind)
    }

    /// Why the request is not sent to this replica, leaving the silence of its host aside;
    /// None if it may be.
    pub fn exclusion(&self, key: ReplicaKey, replica: &Replica) -> Option<Exclusion> {
        let has_weights = |model: &str| replica.weights_version(model, self.now_ms) > 0;
        if replica.record.service != self.service {
            Some(Exclusion::OtherService)
        } else if !replica.is_usable(self.now_ms) {
            Some(Exclusion::Unusable)
        } else if let Some(rule) = self.domains.exclusion(&replica.record.failure_domain) {
            Some(rule)
        } else if self.tried_replicas.contains(&key) {
            Some(Exclusion::AlreadyTried)
        } else if !self.model.is_none_or(has_weights) {
            Some(Exclusion::NoWeights)
        } else if !begins_in_time(self.limit_ms(replica), 0.0) {
            Some(Exclusion::WeightsDue)
        } else if !(self.is_within_cold_share)(replica) {
            Some(Exclusion::ColdShare)
        } else {
            None
        }
    }
}

/// The replicas that a request may be sent to.
pub fn candidates<'a>(
    replicas: &'a ReplicaTable,
    input: &CandidateInput<'_>,
) -> Vec<(ReplicaKey, &'a Replica)> {
    let listed = replicas.listed();
    let mut usable: Vec<(ReplicaKey, &Replica)> = listed
        .filter(|(key, replica)| input.exclusion(*key, replica).is_none())
        .collect();
    // What is sent to a host that stands still runs when it goes on, for nobody.
    let is_heard = |usable: &(ReplicaKey, &Replica)| !usable.1.is_silent(input.now_ms);
    if replicas.has_reports(input.service, input.now_ms) && usable.iter().any(is_heard) {
        usable.retain(is_heard);
    }
    usable
}

/// The rule on failure domains that leaves a service without replicas for a request: what
/// excludes the ones that could take it otherwise. None if none could.
pub fn excluding_rule(replicas: &ReplicaTable, input: &CandidateInput<'_>) -> Option<Exclusion> {
    let listed = replicas.listed();
    let exclusions = listed.filter_map(|(key, replica)| input.exclusion(key, replica));
    let rules = exclusions.filter(|e| matches!(e, Exclusion::Residency | Exclusion::Evacuated));
    // An evacuated one is in an allowed region: the evacuation is what can be taken back.
    rules.reduce(|first, next| match first {
        Exclusion::Evacuated => first,
        _ => next,
    })
}
