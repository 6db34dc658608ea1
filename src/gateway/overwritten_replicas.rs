/// Replicas under whose ids another writer has written since their own last records.
///
/// Their own records hold, as long as those of replicas that have fallen silent.
#[derive(Debug, Default)]
pub(super) struct OverwrittenReplicas {
    // Pairs of an id and the time at which it was first overwritten, by ascending id.
    since_ms: Vec<(String, u64)>,
}

impl OverwrittenReplicas {
    /// Whether there are none.
    pub(super) fn is_empty(&self) -> bool {
        self.since_ms.is_empty()
    }

    /// Records that another writer has written under `id`.
    pub(super) fn add(&mut self, id: &str, now_ms: u64) {
        if let Err(at) = self.position(id) {
            self.since_ms.insert(at, (id.to_owned(), now_ms));
        }
    }

    /// Records that the replica itself has written, or was removed.
    pub(super) fn remove(&mut self, id: &str) {
        if let Ok(at) = self.position(id) {
            self.since_ms.remove(at);
        }
    }

    /// Removes and returns the ids that were overwritten at `since_ms` or before.
    pub(super) fn take_until(&mut self, since_ms: u64) -> Vec<String> {
        let silent = self.since_ms.extract_if(.., |known| known.1 <= since_ms);
        silent.map(|known| known.0).collect()
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        (self.since_ms).binary_search_by(|known| known.0.as_str().cmp(id))
    }
}
