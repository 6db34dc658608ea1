use std::collections::VecDeque;

use crate::weights::Digest;

/// Digests remembered for the check of late checkpoints.
const MAX_PAST_DIGESTS: usize = 256;

/// Digests of the fold at recent offsets, ascending.
#[derive(Debug, Clone, Default)]
pub struct PastDigests {
    digests: VecDeque<(u64, Digest)>,
}

impl PastDigests {
    /// Remembers the digest at `offset`, which is greater than all before it.
    pub fn push(&mut self, offset: u64, digest: Digest) {
        if self.digests.len() == MAX_PAST_DIGESTS {
            self.digests.pop_front();
        }
        self.digests.push_back((offset, digest));
    }

    /// The digest at `offset`, if it is remembered.
    pub fn digest_at(&self, offset: u64) -> Option<Digest> {
        let index = self
            .digests
            .binary_search_by_key(&offset, |(offset, _)| *offset);
        index.ok().map(|index| self.digests[index].1)
    }
}
