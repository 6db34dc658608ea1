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
use crate::hosts::Progress;
use crate::hosts::Roster;
use crate::node::Node;
use crate::weights::Digest;

/// Head of a prompt that decides where it is likely cached; shorter prompts have no home.
const PREFIX_BYTES: usize = 256;

/// Retries a branch may save up.
const RETRY_BURST: u32 = 20;

/// Routing state of an entry.
#[derive(Debug)]
pub struct GenerateRouting {
    router: Mutex<Router>,
    retries: Mutex<RetryBudget>,
    first_tokens: Mutex<FirstTokenTimes>,
}

impl GenerateRouting {
    /// Fresh state of the entry called `name`.
    pub fn new(name: &str, retry_budget_percent: u64) -> Self {
        let ratio_permille = (retry_budget_percent * 10) as u32;
        Self {
            router: Mutex::new(Router::new(stable_hash(name.as_bytes()))),
            retries: Mutex::new(RetryBudget::new(ratio_permille, RETRY_BURST)),
            first_tokens: Mutex::default(),
        }
    }

    /// Times to first tokens, of all endpoints.
    pub(super) fn first_tokens(&self) -> MutexGuard<'_, FirstTokenTimes> {
        self.first_tokens
            .lock()
            .expect("no holder of the times panics")
    }

    /// Requests in flight and what was learned from them.
    pub(super) fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().expect("no holder of the router panics")
    }

    /// Retries left to each branch.
    pub(super) fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries
            .lock()
            .expect("no holder of the budgets panics")
    }

    /// Chooses an endpoint for `call` and counts the request as sent to it.
    ///
    /// While a version rolls out, replicas of the version before serve too;
    /// `pinned` names the only version that will do.
    pub(super) fn choose(
        &self,
        node: &Node,
        call: &GenerateCall,
        pinned: Option<Digest>,
        tried: &[HostKey],
    ) -> Option<RouteChoice> {
        let now_ms = node.now_ms();
        let roster = node.roster();
        let candidates = candidates(&roster, call, pinned, now_ms);
        let entries = roster.usable(HostRole::Entry, now_ms).count();
        let ask = RouteRequest {
            candidates: &candidates,
            prefix_hash: prefix(call),
            tried,
        };
        let mut router = self.router();
        // The roster of an entry does not list the entry itself as usable.
        router.set_entry_count(entries as u32 + 1);
        let key = router.pick_endpoint(&ask, now_ms)?;
        let host = roster.host(key)?;
        let manifest = served_manifest(host, call, pinned)?;
        router.record_start(key, now_ms);
        Some(RouteChoice {
            key,
            address: host.address,
            manifest,
            started_ms: now_ms,
        })
    }

    /// Whether an endpoint that was not tried has a free slot for `call`.
    pub(super) fn has_room(
        &self,
        node: &Node,
        call: &GenerateCall,
        pinned: Option<Digest>,
        tried: &[HostKey],
    ) -> bool {
        let now_ms = node.now_ms();
        let candidates = candidates(&node.roster(), call, pinned, now_ms);
        let ask = RouteRequest {
            candidates: &candidates,
            prefix_hash: None,
            tried,
        };
        self.router().has_free_slot(&ask, now_ms)
    }
}

fn candidates(
    roster: &Roster,
    call: &GenerateCall,
    pinned: Option<Digest>,
    now_ms: u64,
) -> Vec<Candidate> {
    roster
        .usable(HostRole::Endpoint, now_ms)
        .filter(|(_, host)| served_manifest(host, call, pinned).is_some())
        .map(|(key, host)| Candidate {
            key,
            name_hash: stable_hash(host.name.as_bytes()),
            load: host.load,
            last_received_ms: now_ms.saturating_sub(host.silent_ms(now_ms).unwrap_or(0)),
        })
        .collect()
}

/// Where a request goes.
#[derive(Debug, Clone, Copy)]
pub(super) struct RouteChoice {
    pub(super) key: HostKey,
    pub(super) address: SocketAddr,
    /// Version that is to answer.
    pub(super) manifest: Digest,
    pub(super) started_ms: u64,
}

/// The version with which `host` can answer `call`: the configured one if it serves it.
fn served_manifest(host: &Host, call: &GenerateCall, pinned: Option<Digest>) -> Option<Digest> {
    let mut serving = host
        .served
        .iter()
        .filter(|served| served.progress == Progress::Serving)
        .filter(|served| served.model == call.model)
        .map(|served| served.manifest);
    if let Some(pinned) = pinned {
        return serving.find(|manifest| *manifest == pinned);
    }
    let first = serving.next()?;
    let configured = serving.find(|manifest| *manifest == call.manifest);
    Some(configured.unwrap_or(first))
}

fn prefix(call: &GenerateCall) -> Option<u64> {
    let head = call.prompt.as_bytes().get(..PREFIX_BYTES)?;
    Some(stable_hash(head))
}
