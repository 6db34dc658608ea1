use std::fmt;

use crate::weights::Digest;
use crate::weights::ManifestError;

/// Why a version is held on a host, that is, can't proceed to serving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldReason {
    /// The version doesn't fit into the memory budget for weights.
    OverBudget {
        /// Size of the version, in bytes.
        size_bytes: u64,
        /// Bytes reserved by other versions.
        used_bytes: u64,
        /// Total budget, in bytes.
        limit_bytes: u64,
    },
    /// The manifest is invalid.
    Manifest(ManifestError),
    /// The origin has no manifest of the version.
    ManifestMissing,
    /// The engine has not loaded the base model of this adapter.
    BaseNotLoaded { base: Digest },
    /// Each chunk matches its digest, but all of them together do not match the
    /// manifest's digest of the content.
    ContentMismatch { expected: Digest, found: Digest },
    /// The engine reports another content digest than that of the manifest.
    EngineMismatch { expected: Digest, found: Digest },
    /// The engine refused the order to load the version.
    EngineRefused { reason: String },
}

impl HoldReason {
    /// Label of the reason in metrics and reports.
    pub fn label(&self) -> &'static str {
        match self {
            Self::OverBudget { .. } => "over_budget",
            Self::Manifest(_) => "manifest_invalid",
            Self::ManifestMissing => "manifest_missing",
            Self::BaseNotLoaded { .. } => "base_not_loaded",
            Self::ContentMismatch { .. } => "wrong_whole",
            Self::EngineMismatch { .. } => "engine_mismatch",
            Self::EngineRefused { .. } => "engine_refused",
        }
    }
}

impl fmt::Display for HoldReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OverBudget {
                size_bytes,
                used_bytes,
                limit_bytes,
            } => write!(
                f,
                "version of {size_bytes} bytes does not fit: {used_bytes} of {limit_bytes} bytes are in use"
            ),
            Self::Manifest(error) => error.fmt(f),
            Self::ManifestMissing => f.write_str("the origin has no such manifest"),
            Self::BaseNotLoaded { base } => write!(f, "base {} is not loaded", base.short_hex()),
            Self::ContentMismatch { expected, found } => {
                write!(f, "all chunks together have digest {found}, not {expected}")
            }
            Self::EngineMismatch { expected, found } => {
                write!(f, "the engine reports digest {found}, not {expected}")
            }
            Self::EngineRefused { reason } => write!(f, "the engine refused the order: {reason}"),
        }
    }
}

impl std::error::Error for HoldReason {}

impl From<ManifestError> for HoldReason {
    fn from(error: ManifestError) -> Self {
        Self::Manifest(error)
    }
}
