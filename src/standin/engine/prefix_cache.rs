/// Prompt bytes in one cached block.
const BLOCK_BYTES: usize = 64;

/// Least recently used cache of prompt blocks.
#[derive(Debug)]
pub struct PrefixCache {
    /// Sorted by key.
    blocks: Vec<CachedBlock>,
    capacity: usize,
    uses: u64,
    looked_up: u64,
    hits: u64,
}

#[derive(Debug, Clone, Copy)]
struct CachedBlock {
    key: u64,
    last_use: u64,
}

impl PrefixCache {
    /// Empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            blocks: Vec::new(),
            capacity,
            uses: 0,
            looked_up: 0,
            hits: 0,
        }
    }

    /// Number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Prompts admitted.
    pub fn uses(&self) -> u64 {
        self.uses
    }

    /// Blocks looked up.
    pub fn looked_up(&self) -> u64 {
        self.looked_up
    }

    /// Blocks found.
    pub fn hits(&self) -> u64 {
        self.hits
    }

    /// Looks `prompt` up, caches it, and returns the hit share in percent.
    pub fn admit(&mut self, weights: &[u8], prompt: &[u8]) -> u64 {
        self.uses += 1;
        let keys = block_keys(weights, prompt);
        let hits = keys.iter().take_while(|&&key| self.touch(key)).count();
        self.looked_up += keys.len() as u64;
        self.hits += hits as u64;
        for &key in &keys[hits..] {
            self.insert(key);
        }
        if keys.is_empty() {
            return 0;
        }
        hits as u64 * 100 / keys.len() as u64
    }

    fn touch(&mut self, key: u64) -> bool {
        match self.blocks.binary_search_by_key(&key, |block| block.key) {
            Ok(at) => {
                self.blocks[at].last_use = self.uses;
                true
            }
            Err(_) => false,
        }
    }

    fn insert(&mut self, key: u64) {
        if self.capacity == 0 || self.touch(key) {
            return;
        }
        if self.blocks.len() == self.capacity {
            self.evict();
        }
        let block = CachedBlock {
            key,
            last_use: self.uses,
        };
        let at = self.blocks.partition_point(|other| other.key < key);
        self.blocks.insert(at, block);
    }

    fn evict(&mut self) {
        let oldest = self.blocks.iter().enumerate();
        if let Some((at, _)) = oldest.min_by_key(|(_, block)| block.last_use) {
            self.blocks.remove(at);
        }
    }
}

/// Keys of the whole blocks of `prompt`; each depends on all blocks before it.
fn block_keys(weights: &[u8], prompt: &[u8]) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(weights);
    prompt
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hasher.update(block);
            let hash = hasher.finalize();
            let head = hash.as_bytes().first_chunk().expect("32 bytes hold 8");
            u64::from_le_bytes(*head)
        })
        .collect()
}
