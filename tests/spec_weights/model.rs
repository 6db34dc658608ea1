use std::sync::Arc;
use std::sync::LazyLock;

use bytes::Bytes;

use bergamotfork::weights::Digest;
use bergamotfork::weights::Fetching;
use bergamotfork::weights::InsertOutcome;
use bergamotfork::weights::LoadCheck;
use bergamotfork::weights::Manifest;
use bergamotfork::weights::MemoryBudget;
use bergamotfork::weights::Verification;
use bergamotfork::weights::WeightsReplica;

const CHUNKS: usize = 2;
const CHUNK_BYTES: u32 = 4;
const VERSIONS: usize = 2;

/// A protective rule that the model can disable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Rule {
    /// The engine is ordered to load only verified complete content.
    VerifyContent,
    /// A chunk is stored only when its digest is correct.
    CheckChunks,
    /// A replica serves only when the engine reports the correct digest.
    CompareLoaded,
}

/// Content of one chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Content {
    Missing,
    /// The correct chunk of the version with this index.
    Of(usize),
    Corrupted,
}

type Contents = [Content; CHUNKS];

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    Fetching,
    Verified,
    /// The engine has received an order to load.
    Ordered,
    Serving,
    Held,
}

/// State of one host and its engine, with the faults that may still occur.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Activation {
    disabled_rule: Option<Rule>,
    wanted: usize,
    stages: [Stage; VERSIONS],
    chunks: [Contents; VERSIONS],
    /// Content that the engine has loaded as each version.
    engine: [Option<Contents>; VERSIONS],
    bad_chunks_left: u8,
    truncated_reads_left: u8,
    restarts_left: u8,
    changes_left: u8,
}

static VERSION_BYTES: [&[u8]; VERSIONS] = [b"aaaabbbb", b"ccccdddd"];

static MANIFESTS: LazyLock<Vec<Arc<Manifest>>> = LazyLock::new(|| {
    let build = |(name, bytes): (&str, &&[u8])| {
        Manifest::for_content("chat", name, None, CHUNK_BYTES, bytes)
    };
    ["v1", "v2"]
        .into_iter()
        .zip(&VERSION_BYTES)
        .map(build)
        .map(Arc::new)
        .collect()
});

fn bytes_of(content: Content, index: usize) -> Option<Bytes> {
    let start = index * CHUNK_BYTES as usize;
    let end = start + CHUNK_BYTES as usize;
    match content {
        Content::Missing => None,
        Content::Of(version) => Some(Bytes::from_static(&VERSION_BYTES[version][start..end])),
        Content::Corrupted => Some(Bytes::from_static(b"xxxx")),
    }
}

fn digest_of(contents: &Contents) -> Digest {
    let chunks = (0..CHUNKS).filter_map(|index| bytes_of(contents[index], index));
    Digest::of_bytes(&chunks.collect::<Vec<_>>().concat())
}

/// Replica of the implementation, with `contents` inserted as its chunks.
fn replica(version: usize, contents: &Contents) -> WeightsReplica<Fetching> {
    let manifest = Arc::clone(&MANIFESTS[version]);
    let budget = MemoryBudget::new(manifest.size_bytes);
    let announced = WeightsReplica::announced(manifest.digest());
    let mut replica = announced
        .start_fetching(manifest, &budget)
        .expect("the manifest is valid and the version fits");
    for (index, content) in contents.iter().enumerate() {
        if let Some(bytes) = bytes_of(*content, index) {
            replica.insert_chunk(index as u32, bytes);
        }
    }
    replica
}

impl Activation {
    /// Initial state, with `disabled_rule` disabled, if any.
    pub fn new(disabled_rule: Option<Rule>) -> Self {
        Self {
            disabled_rule,
            wanted: 0,
            stages: [Stage::Fetching; VERSIONS],
            chunks: [[Content::Missing; CHUNKS]; VERSIONS],
            engine: [None; VERSIONS],
            bad_chunks_left: 2,
            truncated_reads_left: 1,
            restarts_left: 1,
            changes_left: 2,
        }
    }

    /// Whether `rule` is disabled.
    fn is_disabled(&self, rule: Rule) -> bool {
        self.disabled_rule == Some(rule)
    }

    /// Describes the violation in this state, if there is one.
    pub fn violation(&self) -> Option<&'static str> {
        for version in 0..VERSIONS {
            let complete = [Content::Of(version); CHUNKS];
            match self.stages[version] {
                Stage::Serving if self.engine[version].is_some_and(|loaded| loaded != complete) => {
                    return Some("responses come from partial or mixed weights");
                }
                Stage::Ordered if self.chunks[version] != complete => {
                    return Some("the engine is ordered to load incomplete or wrong content");
                }
                Stage::Held => return Some("a valid manifest is held"),
                _ => {}
            }
        }
        None
    }

    /// Whether the wanted version is served.
    pub fn serves_wanted(&self) -> bool {
        self.stages[self.wanted] == Stage::Serving
    }

    /// States that one step leads to.
    pub fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        self.change_configuration(&mut next);
        self.restart_engine(&mut next);
        let version = self.wanted;
        match self.stages[version] {
            Stage::Fetching => {
                self.deliver(version, &mut next);
                self.verify(version, &mut next);
            }
            Stage::Verified => next.push(self.with_stage(version, Stage::Ordered)),
            Stage::Ordered => self.load(version, &mut next),
            Stage::Serving | Stage::Held => {}
        }
        next
    }

    fn with_stage(&self, version: usize, stage: Stage) -> Self {
        let mut state = self.clone();
        state.stages[version] = stage;
        state
    }

    fn change_configuration(&self, next: &mut Vec<Self>) {
        if let Some(left) = self.changes_left.checked_sub(1) {
            let mut state = self.clone();
            state.changes_left = left;
            state.wanted = 1 - self.wanted;
            next.push(state);
        }
    }

    /// The engine restarts empty; the host notices and orders it to load again.
    fn restart_engine(&self, next: &mut Vec<Self>) {
        if let Some(left) = self.restarts_left.checked_sub(1) {
            let mut state = self.clone();
            state.restarts_left = left;
            state.engine = [None; VERSIONS];
            for stage in &mut state.stages {
                if *stage == Stage::Serving {
                    *stage = Stage::Verified;
                }
            }
            next.push(state);
        }
    }

    /// Any chunk arrives: correct, corrupted, or from the other version.
    fn deliver(&self, version: usize, next: &mut Vec<Self>) {
        for index in 0..CHUNKS {
            next.push(self.with_chunk(version, index, Content::Of(version)));
            if let Some(left) = self.bad_chunks_left.checked_sub(1) {
                for content in [Content::Corrupted, Content::Of(1 - version)] {
                    let mut state = self.with_chunk(version, index, content);
                    state.bad_chunks_left = left;
                    next.push(state);
                }
            }
        }
    }

    fn with_chunk(&self, version: usize, index: usize, content: Content) -> Self {
        let mut state = self.clone();
        let mut replica = replica(version, &self.chunks[version]);
        let bytes = bytes_of(content, index).expect("a chunk that arrives has bytes");
        let is_stored = match self.is_disabled(Rule::CheckChunks) {
            true => self.chunks[version][index] == Content::Missing,
            false => replica.insert_chunk(index as u32, bytes) == InsertOutcome::Stored,
        };
        if is_stored {
            state.chunks[version][index] = content;
        }
        state
    }

    fn verify(&self, version: usize, next: &mut Vec<Self>) {
        if self.is_disabled(Rule::VerifyContent) {
            next.push(self.with_stage(version, Stage::Verified));
            return;
        }
        if self.is_disabled(Rule::CheckChunks) {
            // The implementation's replica rejects bad chunks, so compare here.
            let is_complete = !self.chunks[version].contains(&Content::Missing);
            let is_correct = digest_of(&self.chunks[version]) == MANIFESTS[version].whole;
            let stage = if is_correct {
                Stage::Verified
            } else {
                Stage::Held
            };
            next.extend(is_complete.then(|| self.with_stage(version, stage)));
            return;
        }
        match replica(version, &self.chunks[version]).verify() {
            Verification::Incomplete(_) => {}
            Verification::Verified(_) => next.push(self.with_stage(version, Stage::Verified)),
            Verification::Held(_) => next.push(self.with_stage(version, Stage::Held)),
        }
    }

    /// The engine loads the content, complete or truncated.
    ///
    /// Its reply arrives, or is lost and the host queries the engine's state.
    fn load(&self, version: usize, next: &mut Vec<Self>) {
        next.push(self.loaded(version, self.chunks[version]));
        // The order was lost and will be sent again.
        next.push(self.with_stage(version, Stage::Verified));
        if let Some(left) = self.truncated_reads_left.checked_sub(1) {
            let mut truncated = self.chunks[version];
            truncated[CHUNKS - 1] = Content::Missing;
            let mut state = self.loaded(version, truncated);
            state.truncated_reads_left = left;
            next.push(state);
        }
    }

    /// State after the engine has loaded `contents` as `version` and the host compared them.
    fn loaded(&self, version: usize, contents: Contents) -> Self {
        let mut state = self.clone();
        state.engine[version] = Some(contents);
        let Verification::Verified(verified) = replica(version, &self.chunks[version]).verify()
        else {
            return state.with_stage(version, Stage::Serving);
        };
        let serves = match verified.confirm_loaded(digest_of(&contents)) {
            LoadCheck::Loaded(_) => true,
            LoadCheck::Held(..) => self.is_disabled(Rule::CompareLoaded),
        };
        let stage = if serves {
            Stage::Serving
        } else {
            Stage::Verified
        };
        state.with_stage(version, stage)
    }
}
