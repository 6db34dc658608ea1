use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::weights::Digest;

/// Largest number of chunks that a version may have.
pub(super) const MAX_CHUNKS: u64 = 65_536;

/// Prefix hashed before a manifest, so that its digest never equals that of any content.
const DIGEST_CONTEXT: &[u8] = b"bergamotfork manifest 1\0";

/// Description of one version of a model: sizes and digests of its chunks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Name of the model.
    pub model: String,
    /// Name of the version.
    pub version: String,
    /// Manifest digest of the base model that an adapter extends; None otherwise.
    pub base: Option<Digest>,
    /// Total size of the version, in bytes.
    pub size_bytes: u64,
    /// Size of each chunk, in bytes; the last one may be smaller.
    pub chunk_bytes: u32,
    /// Digest of each chunk, in the order of the content.
    pub chunks: Vec<Digest>,
    /// Digest of the complete content, that is, of all chunks in order.
    pub whole: Digest,
}

/// Why a manifest is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ManifestError {
    /// The name of the model or of the version is empty.
    Unnamed,
    /// The total size or the chunk size is zero.
    Empty,
    /// The version has more chunks than are allowed.
    TooManyChunks { chunks: u64 },
    /// The number of chunk digests differs from what the sizes require.
    ChunkCount { expected: u64, found: u64 },
    /// The manifest's digest is not the requested one.
    WrongDigest { expected: Digest, found: Digest },
    /// The manifest describes another model or version.
    WrongVersion { model: String, version: String },
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unnamed => f.write_str("manifest names no model or no version"),
            Self::Empty => f.write_str("manifest has a size or chunk size of 0 bytes"),
            Self::TooManyChunks { chunks } => {
                write!(f, "manifest has {chunks} chunks, more than {MAX_CHUNKS}")
            }
            Self::ChunkCount { expected, found } => {
                write!(
                    f,
                    "manifest lists {found} chunks where its sizes need {expected}"
                )
            }
            Self::WrongDigest { expected, found } => {
                write!(f, "manifest has digest {found}, not {expected}")
            }
            Self::WrongVersion { model, version } => {
                write!(
                    f,
                    "manifest describes version {version:?} of model {model:?}"
                )
            }
        }
    }
}

impl std::error::Error for ManifestError {}

impl Manifest {
    /// Builds the manifest of a version with the content `bytes`.
    ///
    /// The content is split into chunks of `chunk_bytes` bytes.
    ///
    /// # Panics
    ///
    /// Panics when `chunk_bytes` is zero.
    pub fn for_content(
        model: &str,
        version: &str,
        base: Option<Digest>,
        chunk_bytes: u32,
        bytes: &[u8],
    ) -> Self {
        let chunks = bytes
            .chunks(chunk_bytes as usize)
            .map(Digest::of_bytes)
            .collect();
        Self {
            model: model.to_owned(),
            version: version.to_owned(),
            base,
            size_bytes: bytes.len() as u64,
            chunk_bytes,
            chunks,
            whole: Digest::of_bytes(bytes),
        }
    }

    /// Digest of the manifest, which identifies the version.
    pub fn digest(&self) -> Digest {
        let mut hasher = blake3::Hasher::new();
        hasher.update(DIGEST_CONTEXT);
        for name in [&self.model, &self.version] {
            hasher.update(&(name.len() as u64).to_le_bytes());
            hasher.update(name.as_bytes());
        }
        hasher.update(&[u8::from(self.base.is_some())]);
        if let Some(base) = &self.base {
            hasher.update(base.as_bytes());
        }
        hasher.update(&self.size_bytes.to_le_bytes());
        hasher.update(&self.chunk_bytes.to_le_bytes());
        for chunk in &self.chunks {
            hasher.update(chunk.as_bytes());
        }
        hasher.update(self.whole.as_bytes());
        hasher.finalize().into()
    }

    /// Checks that names and sizes are set and match the number of chunks.
    ///
    /// # Errors
    ///
    /// Returns the first [`ManifestError`] found.
    pub fn validate(&self) -> Result<(), ManifestError> {
        if self.model.is_empty() || self.version.is_empty() {
            return Err(ManifestError::Unnamed);
        }
        if self.size_bytes == 0 || self.chunk_bytes == 0 {
            return Err(ManifestError::Empty);
        }
        let expected = self.size_bytes.div_ceil(u64::from(self.chunk_bytes));
        if expected > MAX_CHUNKS {
            return Err(ManifestError::TooManyChunks { chunks: expected });
        }
        let found = self.chunks.len() as u64;
        if found != expected {
            return Err(ManifestError::ChunkCount { expected, found });
        }
        Ok(())
    }

    /// Checks that the manifest has the digest `expected` and is valid.
    ///
    /// # Errors
    ///
    /// Returns [`ManifestError`] when the digest differs or the manifest is invalid.
    pub fn validate_with_digest(&self, expected: Digest) -> Result<(), ManifestError> {
        let found = self.digest();
        if found != expected {
            return Err(ManifestError::WrongDigest { expected, found });
        }
        self.validate()
    }

    /// Number of chunks of the version.
    pub fn chunk_count(&self) -> u32 {
        u32::try_from(self.chunks.len()).unwrap_or(u32::MAX)
    }

    /// Size of chunk `index`, in bytes; None when there is no such chunk.
    pub fn chunk_len_bytes(&self, index: u32) -> Option<u32> {
        if index >= self.chunk_count() {
            return None;
        }
        let start_bytes = u64::from(index) * u64::from(self.chunk_bytes);
        let rest_bytes = self.size_bytes.saturating_sub(start_bytes);
        Some(
            u32::try_from(rest_bytes)
                .unwrap_or(u32::MAX)
                .min(self.chunk_bytes),
        )
    }
}
