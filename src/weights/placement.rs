use crate::weights::chunk_ranking::hash64;
use crate::weights::chunk_ranking::mix64;

/// The hosts that should serve `model`, best first: at most `replicas` of `hosts`.
///
/// Rendezvous hashing by name: a host that comes or goes moves only its own
/// replicas, and every process that knows the same hosts finds the same ones.
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

/// What a host ahead in the order of a rollout told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PredecessorState {
    /// It serves the new version.
    Serving,
    /// It has not come so far.
    Pending,
    /// It is gone or can't proceed: the one ahead of it decides.
    Skipped,
}

/// Whether the host at `rank` may change to the new version.
///
/// A host follows the one `step_replicas` ahead of it, so each of
/// `step_replicas` chains changes one host at a time.
pub fn may_switch_version(
    rank: usize,
    step_replicas: u32,
    ahead: impl Fn(usize) -> PredecessorState,
) -> bool {
    let step = step_replicas.max(1) as usize;
    let mut at = rank;
    while let Some(before) = at.checked_sub(step) {
        match ahead(before) {
            PredecessorState::Serving => return true,
            PredecessorState::Pending => return false,
            PredecessorState::Skipped => at = before,
        }
    }
    true
}
