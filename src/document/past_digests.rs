use std::collections::VecDeque;

use crate::weights::Digest;

/// Number of digests kept to verify checkpoints of earlier offsets.
const MAX_PAST_DIGESTS: usize = 256;

/// Digests that a fold had at recent offsets, ascending by offset.
#[derive(Debug, Clone, Default)]
pub struct PastDigests {
    digests: VecDeque<(u64, Digest)>,
}

impl PastDigests {
    /// Adds the digest at `offset`, which must be greater than all that were added before.
    pub fn push(&mut self, offset: u64, digest: Digest) {
        if self.digests.len() == MAX_PAST_DIGESTS {
            self.digests.pop_front();
        }
        self.digests.push_back((offset, digest));
    }

    /// Returns the digest at `offset`, if it is still kept.
    pub fn digest_at(&self, offset: u64) -> Option<Digest> {
        let index = self
            .digests
            .binary_search_by_key(&offset, |(offset, _)| *offset);
        index.ok().map(|index| self.digests[index].1)
    }
}
