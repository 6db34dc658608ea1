use crate::fleet::Declarations;

/// Time before the deadline of new weights, `weights_apply_ms` after their declaration,
/// from which a request names the version to a replica that has them, in ms: the replica
/// may come back with older ones.
const WEIGHTS_REQUIRED_MARGIN_MS: u64 = 1_300;

/// Time before that deadline at which a request that still waits at an engine with old
/// weights is cancelled, in ms. This process learns of a declaration late.
const WEIGHTS_CANCEL_MARGIN_MS: u64 = 400;

/// Versions of weights that requests must be served with, by the time since they were
/// declared.
#[derive(Debug, Clone, Copy)]
pub struct RequiredVersions<'a> {
    /// Declared versions.
    pub weights: &'a Declarations,
    /// Time after a declaration within which it must serve every request, in ms.
    pub weights_apply_ms: u64,
    /// Present time, in ms.
    pub now_ms: u64,
}

impl RequiredVersions<'_> {
    /// Oldest version of `model` that will soon be required; None for any.
    pub fn required_version(&self, model: &str) -> Option<u64> {
        self.version_due_in(model, WEIGHTS_REQUIRED_MARGIN_MS)
    }

    /// Time within which an engine with `version` of `model` must begin a request, in
    /// ms; None while no later version is declared.
    pub fn begin_within_ms(&self, model: &str, version: u64) -> Option<u64> {
        let now_ms = self.now_ms as i64;
        let apply_ms = self
            .weights_apply_ms
            .saturating_sub(WEIGHTS_CANCEL_MARGIN_MS) as i64;
        self.weights
            .for_model(model)
            .filter(|declaration| declaration.version > version)
            .map(|declaration| declaration.learned_ms + apply_ms - now_ms)
            .min()
            .map(|left_ms| u64::try_from(left_ms).unwrap_or(0))
    }

    /// Newest version of `model` whose deadline is within `ahead_ms`, or has passed.
    fn version_due_in(&self, model: &str, ahead_ms: u64) -> Option<u64> {
        let now_ms = self.now_ms as i64;
        let due_ms = self.weights_apply_ms.saturating_sub(ahead_ms) as i64;
        self.weights
            .for_model(model)
            .filter(|declaration| now_ms - declaration.learned_ms >= due_ms)
            .map(|declaration| declaration.version)
            .max()
    }
}
