use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::calls::Candidate;
use crate::calls::FirstTokenTimes;
use crate::calls::GenerateCall;
use crate::calls::RetryBudget;
use crate::calls::RouteRequest;
use crate::calls::Router;
use crate::calls::stable_hash;
use crate::hosts::Host;
use crate::hosts::HostKey;
use crate::hosts::HostRole;
use crate::hosts::Roster;
use crate::hosts::VersionProgress;
use crate::node::Node;
use crate::weights::Digest;

/// Length of the prompt prefix that decides where the prompt is likely cached, in bytes.
///
/// Shorter prompts are routed by load alone.
const PROMPT_PREFIX_BYTES: usize = 256;

/// Largest number of retries that a branch may make at once.
const RETRY_BURST: u32 = 20;

/// State from which an entry routes token stream requests.
#[derive(Debug)]
pub struct GenerateRouting {
    router: Mutex<Router>,
    retry_budget: Mutex<RetryBudget>,
    first_token_times: Mutex<FirstTokenTimes>,
}

impl GenerateRouting {
    /// State of an entry that just started; its name seeds the router.
    pub fn new(name: &str, retry_budget_percent: u64) -> Self {
        let ratio_permille = (retry_budget_percent * 10) as u32;
        Self {
            router: Mutex::new(Router::new(stable_hash(name.as_bytes()))),
            retry_budget: Mutex::new(RetryBudget::new(ratio_permille, RETRY_BURST)),
            first_token_times: Mutex::default(),
        }
    }

    /// Latest times to the first token, over all endpoints.
    pub(super) fn first_token_times(&self) -> MutexGuard<'_, FirstTokenTimes> {
        self.first_token_times
            .lock()
            .expect("no holder of the times panics")
    }

    /// Router, with the statistics of the endpoints.
    pub(super) fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().expect("no holder of the router panics")
    }

    /// Retry budgets of the branches.
    pub(super) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget
            .lock()
            .expect("no holder of the budgets panics")
    }

    /// Chooses an endpoint for a call and records the request as sent to it.
    ///
    /// During a rollout, replicas of the previous version are used as well, unless
    /// `pinned_manifest` restricts the choice to one version.
    pub(super) fn choose_endpoint(
        &self,
        node: &Node,
        call: &GenerateCall,
        pinned_manifest: Option<Digest>,
        tried: &[HostKey],
    ) -> Option<RouteChoice> {
        let now_ms = node.now_ms();
        let roster = node.roster();
        let candidates = route_candidates(&roster, call, pinned_manifest, now_ms);
        let entries = roster.usable(HostRole::Entry, now_ms).count();
        let request = RouteRequest {
            candidates: &candidates,
            prefix_hash: prefix_hash(call),
            tried,
        };
        let mut router = self.router();
        // The roster of an entry does not list the entry itself as usable.
        router.set_entry_count(entries as u32 + 1);
        let host_key = router.pick_endpoint(&request, now_ms)?;
        let host = roster.host(host_key)?;
        let manifest = served_manifest(host, call, pinned_manifest)?;
        router.record_start(host_key, now_ms);
        Some(RouteChoice {
            host_key,
            address: host.address,
            incarnation: host.incarnation,
            manifest,
            started_ms: now_ms,
        })
    }

    /// Whether an endpoint that was not tried serves the call.
    pub(super) fn has_untried_endpoint(
        &self,
        node: &Node,
        call: &GenerateCall,
        pinned_manifest: Option<Digest>,
        tried: &[HostKey],
    ) -> bool {
        let candidates = route_candidates(&node.roster(), call, pinned_manifest, node.now_ms());
        candidates.iter().any(|it| !tried.contains(&it.key))
    }

    /// Whether an endpoint that was not tried is expected to have a free slot for the call.
    pub(super) fn has_free_slot(
        &self,
        node: &Node,
        call: &GenerateCall,
        pinned_manifest: Option<Digest>,
        tried: &[HostKey],
    ) -> bool {
        let now_ms = node.now_ms();
        let candidates = route_candidates(&node.roster(), call, pinned_manifest, now_ms);
        let request = RouteRequest {
            candidates: &candidates,
            prefix_hash: None,
            tried,
        };
        self.router().has_free_slot(&request, now_ms)
    }
}

/// Usable endpoints that serve the model of the call in an acceptable version.
fn route_candidates(
    roster: &Roster,
    call: &GenerateCall,
    pinned_manifest: Option<Digest>,
    now_ms: u64,
) -> Vec<Candidate> {
    roster
        .usable(HostRole::Endpoint, now_ms)
        .filter(|(_, host)| served_manifest(host, call, pinned_manifest).is_some())
        .map(|(key, host)| Candidate {
            key,
            name_hash: stable_hash(host.name.as_bytes()),
            load: host.load,
            last_received_ms: now_ms.saturating_sub(host.silent_ms(now_ms).unwrap_or(0)),
        })
        .collect()
}

/// Endpoint that was chosen for a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct RouteChoice {
    pub(super) host_key: HostKey,
    pub(super) address: SocketAddr,
    pub(super) incarnation: u64,
    /// Manifest of the version that will answer.
    pub(super) manifest: Digest,
    /// Time of the choice, which identifies the request in the router, in milliseconds.
    pub(super) started_ms: u64,
}

/// Manifest of the version with which a host can answer a call: the pinned one, else
/// preferably the configured one.
fn served_manifest(
    host: &Host,
    call: &GenerateCall,
    pinned_manifest: Option<Digest>,
) -> Option<Digest> {
    let mut serving = host
        .served
        .iter()
        .filter(|served| served.progress == VersionProgress::Serving)
        .filter(|served| served.model == call.model)
        .map(|served| served.manifest);
    if let Some(pinned_manifest) = pinned_manifest {
        return serving.find(|manifest| *manifest == pinned_manifest);
    }
    let first = serving.next()?;
    let configured = serving.find(|manifest| *manifest == call.manifest);
    Some(configured.unwrap_or(first))
}

/// Hash of the prompt's prefix; `None` for a short prompt.
fn prefix_hash(call: &GenerateCall) -> Option<u64> {
    let head = call.prompt.as_bytes().get(..PROMPT_PREFIX_BYTES)?;
    Some(stable_hash(head))
}
