use bytes::Bytes;
use rand::RngCore;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

use crate::links::TokenBucket;
use crate::weights::Digest;
use crate::weights::Manifest;

/// Request to publish a version whose content is generated from a seed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PublishRequest {
    /// Name of the model.
    pub model: String,
    /// Name of the version.
    pub version: String,
    /// Size of the complete weights, in bytes.
    pub size_bytes: u64,
    /// Size of each chunk but the last, in bytes.
    pub chunk_bytes: u32,
    /// Seed of the generated content.
    pub seed: u64,
    /// Digest of the base model's manifest; set for adapters only.
    #[serde(default)]
    pub base: Option<Digest>,
}

/// Refusal of coming chunk requests, as sent by an origin that limits its rate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RefusalFault {
    /// HTTP status of the answers.
    pub status: u16,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after_s: u32,
    /// Number of requests still to refuse.
    pub count: u32,
}

/// Faults to inject into the origin; body of `POST /fault`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OriginFaults {
    /// Answers every request for a manifest or chunk with status 500.
    pub down: bool,
    /// Rate of the link that replaces the configured rate.
    pub rate_bytes_per_s: Option<u64>,
    /// Index of a chunk that is sent with a wrong first byte, `corrupt_times` times.
    pub corrupt_chunk: Option<u32>,
    /// Number of times the corrupted chunk is still sent.
    pub corrupt_times: u32,
    /// Index of a chunk that is sent without its second half.
    pub truncate_chunk: Option<u32>,
    /// Refuses the next requests for chunks.
    pub refuse: Option<RefusalFault>,
    /// Answers every request for a manifest with status 404.
    pub manifest_missing: bool,
    /// Sends manifests with a wrong digest of the complete weights.
    pub manifest_wrong: bool,
}

/// What the origin has served since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginStats {
    /// Number of chunk requests received, including refused ones.
    pub chunk_requests: u64,
    /// Number of chunks sent.
    pub chunks_sent: u64,
    /// Total size of the chunks sent, in bytes.
    pub chunk_bytes_sent: u64,
    /// Number of manifests sent.
    pub manifests_sent: u64,
}

/// A version with its content; `digest` is the digest of its manifest.
#[derive(Debug)]
struct PublishedVersion {
    manifest: Manifest,
    digest: Digest,
    bytes: Bytes,
}

/// Published versions, the rate limit of the link, injected faults and counters.
#[derive(Debug)]
pub(super) struct OriginStore {
    /// Sorted by the digest of the manifest.
    versions: Vec<PublishedVersion>,
    link: TokenBucket,
    configured_rate_bytes_per_s: u64,
    faults: OriginFaults,
    stats: OriginStats,
}

/// Answer to a request for a chunk.
#[derive(Debug)]
pub(super) enum ChunkAnswer {
    /// The bytes, to be sent after `wait_us` of the link's rate limit.
    Send { bytes: Bytes, wait_us: u64 },
    /// An injected refusal.
    Refuse(RefusalFault),
    /// The version or the chunk does not exist.
    Missing,
    /// The fault `down` is set.
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

    /// Generates and stores a version; returns the digest of its manifest, or `None`
    /// when a size is 0.
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

    /// Manifest of a version, with the injected faults applied.
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

    /// Looks a chunk up and reserves its bytes on the link.
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

    /// Replaces all injected faults.
    pub(super) fn set_faults(&mut self, faults: OriginFaults) {
        let rate_bytes_per_s = faults
            .rate_bytes_per_s
            .unwrap_or(self.configured_rate_bytes_per_s);
        self.link.set_rate(rate_bytes_per_s);
        self.faults = faults;
    }

    /// Uses up one of the injected refusals, if any is left.
    fn take_refusal(&mut self) -> Option<RefusalFault> {
        let refusal = self.faults.refuse.as_mut()?;
        refusal.count = refusal.count.checked_sub(1)?;
        Some(refusal.clone())
    }

    /// Truncates or corrupts the bytes if that fault is injected for the chunk.
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
