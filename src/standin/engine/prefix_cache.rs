/// Prompt bytes in one cached block.
const BLOCK_BYTES: usize = 64;

/// Least recently used cache of prompt blocks.
#[derive(Debug)]
pub struct PrefixCache {
    /// Sorted by key.
    blocks: Vec<CachedBlock>,
    capacity_blocks: usize,
    prompts: u64,
    prompt_blocks: u64,
    hit_blocks: u64,
}

#[derive(Debug, Clone, Copy)]
struct CachedBlock {
    key: u64,
    last_used_prompt: u64,
}

impl PrefixCache {
    /// Empty cache of `capacity_blocks` blocks.
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

    /// Whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Prompts admitted.
    pub fn prompts(&self) -> u64 {
        self.prompts
    }

    /// Blocks looked up.
    pub fn prompt_blocks(&self) -> u64 {
        self.prompt_blocks
    }

    /// Blocks found.
    pub fn hit_blocks(&self) -> u64 {
        self.hit_blocks
    }

    /// Looks `prompt` up, caches it, and returns the hit share in percent.
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
