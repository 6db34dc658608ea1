use crate::weights::chunk_ranking::hash64;
use crate::weights::chunk_ranking::mix64;

/// Hosts that should serve `model`, best rank first: at most `replicas` of `hosts`.
///
/// Hosts are ranked by rendezvous hashing of their names. A host that joins or
/// leaves moves only its own replicas, and processes that know the same hosts
/// select the same ones.
pub fn replica_hosts<'a>(
    model: &str,
    replicas: u32,
    hosts: impl Iterator<Item = &'a str>,
) -> Vec<&'a str> {
    let model_seed = hash64(model.as_bytes());
    let mut ranked: Vec<(u64, &str)> = hosts
        .map(|host| (mix64(model_seed ^ hash64(host.as_bytes())), host))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(replicas as usize);
    ranked.into_iter().map(|(_, host)| host).collect()
}

/// State of a host that comes earlier in the order of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PredecessorState {
    /// The host serves the new version.
    Serving,
    /// The host doesn't serve the new version yet.
    Pending,
    /// The host is unreachable or can't proceed; its own predecessor decides.
    Skipped,
}

/// Whether the host at `rank` in the rollout may switch to the new version.
///
/// A host waits for the host `step_replicas` ranks before it. The hosts thus form
/// `step_replicas` chains, and each chain switches one host at a time. The function
/// `predecessor_state` returns the state of the host at a rank.
pub fn may_switch_version(
    rank: usize,
    step_replicas: u32,
    predecessor_state: impl Fn(usize) -> PredecessorState,
) -> bool {
    let step = step_replicas.max(1) as usize;
    let mut current = rank;
    while let Some(predecessor) = current.checked_sub(step) {
        match predecessor_state(predecessor) {
            PredecessorState::Serving => return true,
            PredecessorState::Pending => return false,
            PredecessorState::Skipped => current = predecessor,
        }
    }
    true
}
