use bytes::Bytes;
use rand::RngCore;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

use crate::links::TokenBucket;
use crate::weights::Digest;
use crate::weights::Manifest;

/// A version to make up.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PublishRequest {
    /// Name of the model.
    pub model: String,
    /// Name of the version.
    pub version: String,
    /// Length of the whole.
    pub size_bytes: u64,
    /// Length of each chunk but the last.
    pub chunk_bytes: u32,
    /// Seed of the bytes.
    pub seed: u64,
    /// Manifest of the base model; adapters only.
    #[serde(default)]
    pub base: Option<Digest>,
}

/// RefusalFault to order from the origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RefusalFault {
    /// Status of the answers.
    pub status: u16,
    /// Value of `Retry-After`.
    pub retry_after_s: u32,
    /// How many requests are refused.
    pub count: u32,
}

/// Faults to order from the origin.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OriginFaults {
    /// Every request is answered 500.
    pub down: bool,
    /// Rate of the link instead of its own.
    pub rate_bytes_per_s: Option<u64>,
    /// This chunk is sent with a wrong byte, as often as `corrupt_times` says.
    pub corrupt_chunk: Option<u32>,
    /// How often the corrupted chunk is sent.
    pub corrupt_times: u32,
    /// This chunk is sent without its second half.
    pub truncate_chunk: Option<u32>,
    /// The next requests for chunks are refused.
    pub refuse: Option<RefusalFault>,
    /// Manifests are not found.
    pub manifest_missing: bool,
    /// Manifests name another whole digest.
    pub manifest_wrong: bool,
}

/// What the origin has served.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginStats {
    /// Requests for chunks, refused ones too.
    pub chunk_requests: u64,
    /// Chunks sent.
    pub chunks_sent: u64,
    /// Bytes of chunks sent.
    pub chunk_bytes_sent: u64,
    /// Manifests sent.
    pub manifests_sent: u64,
}

#[derive(Debug)]
struct PublishedVersion {
    manifest: Manifest,
    digest: Digest,
    bytes: Bytes,
}

/// All versions of the origin, its faults and its link.
#[derive(Debug)]
pub(super) struct OriginStore {
    versions: Vec<PublishedVersion>,
    link: TokenBucket,
    configured_rate_bytes_per_s: u64,
    faults: OriginFaults,
    stats: OriginStats,
}

/// Answer to a request for a chunk.
#[derive(Debug)]
pub(super) enum ChunkAnswer {
    Send { bytes: Bytes, wait_us: u64 },
    Refuse(RefusalFault),
    Missing,
    Down,
}

impl OriginStore {
    pub(super) fn new(rate_bytes_per_s: u64, burst_bytes: u64) -> Self {
        Self {
            versions: Vec::new(),
            link: TokenBucket::new(rate_bytes_per_s, burst_bytes),
            configured_rate_bytes_per_s: rate_bytes_per_s,
            faults: OriginFaults::default(),
            stats: OriginStats::default(),
        }
    }

    pub(super) fn publish(&mut self, request: &PublishRequest) -> Option<Digest> {
        let len = usize::try_from(request.size_bytes).ok()?;
        if len == 0 || request.chunk_bytes == 0 {
            return None;
        }
        let mut bytes = vec![0; len];
        Pcg64Mcg::seed_from_u64(request.seed).fill_bytes(&mut bytes);
        let manifest = Manifest::for_content(
            &request.model,
            &request.version,
            request.base,
            request.chunk_bytes,
            &bytes,
        );
        let digest = manifest.digest();
        let published = PublishedVersion {
            manifest,
            digest,
            bytes: bytes.into(),
        };
        match self
            .versions
            .binary_search_by_key(&digest, |published| published.digest)
        {
            Ok(at) => self.versions[at] = published,
            Err(at) => self.versions.insert(at, published),
        }
        Some(digest)
    }

    pub(super) fn manifest(&mut self, model: &str, version: &str) -> Option<Manifest> {
        if self.faults.manifest_missing {
            return None;
        }
        let found = self.versions.iter().find(|published| {
            published.manifest.model == model && published.manifest.version == version
        })?;
        let mut manifest = found.manifest.clone();
        if self.faults.manifest_wrong {
            manifest.whole = Digest::of_bytes(b"another whole");
        }
        self.stats.manifests_sent += 1;
        Some(manifest)
    }

    pub(super) fn chunk(&mut self, manifest: Digest, index: u32, now_us: u64) -> ChunkAnswer {
        self.stats.chunk_requests += 1;
        if self.faults.down {
            return ChunkAnswer::Down;
        }
        if let Some(refusal) = self.take_refusal() {
            return ChunkAnswer::Refuse(refusal);
        }
        let Ok(at) = self
            .versions
            .binary_search_by_key(&manifest, |published| published.digest)
        else {
            return ChunkAnswer::Missing;
        };
        let published = &self.versions[at];
        let Some(len) = published.manifest.chunk_len_bytes(index) else {
            return ChunkAnswer::Missing;
        };
        let start = index as usize * published.manifest.chunk_bytes as usize;
        let bytes = published.bytes.slice(start..start + len as usize);
        let bytes = self.apply_chunk_faults(index, bytes);
        let wait_us = self.link.reserve(now_us, bytes.len() as u64);
        ChunkAnswer::Send { bytes, wait_us }
    }

    pub(super) fn count_sent_chunk(&mut self, bytes: usize) {
        self.stats.chunks_sent += 1;
        self.stats.chunk_bytes_sent += bytes as u64;
    }

    pub(super) fn is_down(&self) -> bool {
        self.faults.down
    }

    pub(super) fn stats(&self) -> OriginStats {
        self.stats.clone()
    }

    pub(super) fn set_faults(&mut self, faults: OriginFaults) {
        let rate_bytes_per_s = faults
            .rate_bytes_per_s
            .unwrap_or(self.configured_rate_bytes_per_s);
        self.link.set_rate(rate_bytes_per_s);
        self.faults = faults;
    }

    fn take_refusal(&mut self) -> Option<RefusalFault> {
        let refusal = self.faults.refuse.as_mut()?;
        refusal.count = refusal.count.checked_sub(1)?;
        Some(refusal.clone())
    }

    fn apply_chunk_faults(&mut self, index: u32, bytes: Bytes) -> Bytes {
        if self.faults.truncate_chunk == Some(index) {
            return bytes.slice(..bytes.len() / 2);
        }
        if self.faults.corrupt_chunk == Some(index) && self.faults.corrupt_times > 0 {
            self.faults.corrupt_times -= 1;
            let mut corrupted = bytes.to_vec();
            corrupted[0] ^= 1;
            return corrupted.into();
        }
        bytes
    }
}
