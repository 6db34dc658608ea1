/// Size of one cached prompt block, in bytes.
const BLOCK_BYTES: usize = 64;

/// Cache of prompt blocks that evicts the least recently used block.
#[derive(Debug)]
pub struct PrefixCache {
    /// Cached blocks, sorted by key.
    blocks: Vec<CachedBlock>,
    capacity_blocks: usize,
    prompts: u64,
    prompt_blocks: u64,
    hit_blocks: u64,
}

#[derive(Debug, Clone, Copy)]
struct CachedBlock {
    key: u64,
    /// Number of the prompt that used the block last.
    last_used_prompt: u64,
}

impl PrefixCache {
    /// Creates an empty cache with room for `capacity_blocks` blocks.
    pub fn new(capacity_blocks: usize) -> Self {
        Self {
            blocks: Vec::new(),
            capacity_blocks,
            prompts: 0,
            prompt_blocks: 0,
            hit_blocks: 0,
        }
    }

    /// Number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether the cache holds no block.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Number of prompts inserted since the start.
    pub fn prompts(&self) -> u64 {
        self.prompts
    }

    /// Number of blocks of all inserted prompts.
    pub fn prompt_blocks(&self) -> u64 {
        self.prompt_blocks
    }

    /// Number of blocks that were already cached when their prompt was inserted.
    pub fn hit_blocks(&self) -> u64 {
        self.hit_blocks
    }

    /// Caches the blocks of `prompt` and returns the share found in the cache, in percent.
    ///
    /// Only a cached prefix counts: blocks after the first miss are not hits.
    pub fn insert_prompt(&mut self, weights: &[u8], prompt: &[u8]) -> u64 {
        self.prompts += 1;
        let keys = block_keys(weights, prompt);
        let hits = keys.iter().take_while(|&&key| self.mark_used(key)).count();
        self.prompt_blocks += keys.len() as u64;
        self.hit_blocks += hits as u64;
        for &key in &keys[hits..] {
            self.insert_block(key);
        }
        if keys.is_empty() {
            return 0;
        }
        hits as u64 * 100 / keys.len() as u64
    }

    /// Updates the last use of a block; returns whether it is cached.
    fn mark_used(&mut self, key: u64) -> bool {
        match self.blocks.binary_search_by_key(&key, |block| block.key) {
            Ok(at) => {
                self.blocks[at].last_used_prompt = self.prompts;
                true
            }
            Err(_) => false,
        }
    }

    fn insert_block(&mut self, key: u64) {
        if self.capacity_blocks == 0 || self.mark_used(key) {
            return;
        }
        if self.blocks.len() == self.capacity_blocks {
            self.evict_least_recent();
        }
        let block = CachedBlock {
            key,
            last_used_prompt: self.prompts,
        };
        let at = self.blocks.partition_point(|other| other.key < key);
        self.blocks.insert(at, block);
    }

    fn evict_least_recent(&mut self) {
        let oldest = self.blocks.iter().enumerate();
        if let Some((at, _)) = oldest.min_by_key(|(_, block)| block.last_used_prompt) {
            self.blocks.remove(at);
        }
    }
}

/// Keys of the complete blocks of `prompt`; each key also covers all earlier blocks.
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
