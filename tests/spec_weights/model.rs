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

/// A protective rule that a run may go without.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Rule {
    /// The engine is ordered to load only when the whole is verified.
    VerifyWhole,
    /// A chunk is kept only when its digest is right.
    CheckChunks,
    /// A replica serves only when the engine reports the right digest.
    CompareLoaded,
}

/// What stands in the place of one chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Content {
    Missing,
    /// The chunk of this version, correct.
    Of(usize),
    Corrupted,
}

type Contents = [Content; CHUNKS];

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    Fetching,
    Verified,
    /// An order to load is with the engine.
    Ordered,
    Serving,
    Held,
}

/// One host, its engine, and what may still go wrong.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Activation {
    without: Option<Rule>,
    wanted: usize,
    stages: [Stage; VERSIONS],
    chunks: [Contents; VERSIONS],
    /// What the engine holds under the name of each version.
    engine: [Option<Contents>; VERSIONS],
    bad_chunks_left: u8,
    cut_reads_left: u8,
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

/// The product's replica with the chunks that it would keep.
fn replica(version: usize, contents: &Contents) -> WeightsReplica<Fetching> {
    let manifest = Arc::clone(&MANIFESTS[version]);
    let budget = MemoryBudget::new(manifest.size_bytes);
    let announced = WeightsReplica::announced(manifest.digest());
    let mut replica = announced
        .start_fetching(manifest, &budget)
        .expect("the manifest is right and fits");
    for (index, content) in contents.iter().enumerate() {
        if let Some(bytes) = bytes_of(*content, index) {
            replica.insert_chunk(index as u32, bytes);
        }
    }
    replica
}

impl Activation {
    pub fn new(without: Option<Rule>) -> Self {
        Self {
            without,
            wanted: 0,
            stages: [Stage::Fetching; VERSIONS],
            chunks: [[Content::Missing; CHUNKS]; VERSIONS],
            engine: [None; VERSIONS],
            bad_chunks_left: 2,
            cut_reads_left: 1,
            restarts_left: 1,
            changes_left: 2,
        }
    }

    fn lacks(&self, rule: Rule) -> bool {
        self.without == Some(rule)
    }

    /// What is wrong with this state, if anything.
    pub fn violation(&self) -> Option<&'static str> {
        for version in 0..VERSIONS {
            let whole = [Content::Of(version); CHUNKS];
            match self.stages[version] {
                Stage::Serving if self.engine[version].is_some_and(|held| held != whole) => {
                    return Some("answers come from partial or mixed weights");
                }
                Stage::Ordered if self.chunks[version] != whole => {
                    return Some("the engine is ordered to load what is not whole");
                }
                Stage::Held => return Some("a right manifest is given up"),
                _ => {}
            }
        }
        None
    }

    pub fn serves_wanted(&self) -> bool {
        self.stages[self.wanted] == Stage::Serving
    }

    pub fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        self.change_document(&mut next);
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

    fn change_document(&self, next: &mut Vec<Self>) {
        if let Some(left) = self.changes_left.checked_sub(1) {
            let mut state = self.clone();
            state.changes_left = left;
            state.wanted = 1 - self.wanted;
            next.push(state);
        }
    }

    /// The engine comes back empty; the host notices and orders again.
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

    /// Any chunk arrives: right, corrupted, or of the other version.
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
        let kept = match self.lacks(Rule::CheckChunks) {
            true => self.chunks[version][index] == Content::Missing,
            false => replica.insert_chunk(index as u32, bytes) == InsertOutcome::Stored,
        };
        if kept {
            state.chunks[version][index] = content;
        }
        state
    }

    fn verify(&self, version: usize, next: &mut Vec<Self>) {
        if self.lacks(Rule::VerifyWhole) {
            next.push(self.with_stage(version, Stage::Verified));
            return;
        }
        if self.lacks(Rule::CheckChunks) {
            // The replica of the product refuses bad chunks, so compare here.
            let complete = !self.chunks[version].contains(&Content::Missing);
            let right = digest_of(&self.chunks[version]) == MANIFESTS[version].whole;
            let stage = if right { Stage::Verified } else { Stage::Held };
            next.extend(complete.then(|| self.with_stage(version, stage)));
            return;
        }
        match replica(version, &self.chunks[version]).verify() {
            Verification::Incomplete(_) => {}
            Verification::Verified(_) => next.push(self.with_stage(version, Stage::Verified)),
            Verification::Held(_) => next.push(self.with_stage(version, Stage::Held)),
        }
    }

    /// The engine reads the bytes, whole or cut short; its reply comes, or is
    /// lost and its state is asked.
    fn load(&self, version: usize, next: &mut Vec<Self>) {
        next.push(self.loaded(version, self.chunks[version]));
        // The order is lost: it will be given again.
        next.push(self.with_stage(version, Stage::Verified));
        if let Some(left) = self.cut_reads_left.checked_sub(1) {
            let mut cut = self.chunks[version];
            cut[CHUNKS - 1] = Content::Missing;
            let mut state = self.loaded(version, cut);
            state.cut_reads_left = left;
            next.push(state);
        }
    }

    fn loaded(&self, version: usize, held: Contents) -> Self {
        let mut state = self.clone();
        state.engine[version] = Some(held);
        let Verification::Verified(verified) = replica(version, &self.chunks[version]).verify()
        else {
            return state.with_stage(version, Stage::Serving);
        };
        let serves = match verified.confirm_loaded(digest_of(&held)) {
            LoadCheck::Loaded(_) => true,
            LoadCheck::Held(..) => self.lacks(Rule::CompareLoaded),
        };
        let stage = if serves {
            Stage::Serving
        } else {
            Stage::Verified
        };
        state.with_stage(version, stage)
    }
}
