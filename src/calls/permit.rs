use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::Nonce;
use crate::weights::Digest;

/// Context string that separates permit keys from other uses of the shared key.
const KEY_CONTEXT: &str = "bergamotfork permit 1";

/// Key with which entries seal permits, derived from the shared key.
#[derive(Debug, Clone)]
pub struct PermitKey([u8; 32]);

impl PermitKey {
    /// Derives the key from the setting `shared_key`, which is the same on all processes.
    pub fn derive(shared_key: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, shared_key.as_bytes()))
    }
}

/// Endpoint process and epoch for which a permit is valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitTarget {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Address of its process.
    pub address: SocketAddr,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Epoch of its permit table.
    pub epoch: u64,
}

/// Allows one call that must not run twice, on one endpoint process only.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Permit {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Address of its process.
    pub address: SocketAddr,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Epoch of its permit table.
    pub epoch: u64,
    /// Identifies the call.
    pub nonce: Nonce,
    /// Branch to which it was issued.
    pub branch: String,
    /// Service for which it may be used.
    pub service: String,
    /// Keyed digest of the fields above.
    pub seal: Digest,
}

impl Permit {
    /// Issues a permit with a random nonce.
    pub fn issue(key: &PermitKey, target: PermitTarget, branch: &str, service: &str) -> Self {
        Self::with_nonce(key, target, branch, service, Nonce::random())
    }

    /// Issues a permit with the given nonce.
    pub fn with_nonce(
        key: &PermitKey,
        target: PermitTarget,
        branch: &str,
        service: &str,
        nonce: Nonce,
    ) -> Self {
        let mut permit = Self {
            endpoint: target.endpoint,
            address: target.address,
            incarnation: target.incarnation,
            epoch: target.epoch,
            nonce,
            branch: branch.to_owned(),
            service: service.to_owned(),
            seal: Digest::of_bytes(&[]),
        };
        permit.seal = permit.compute_seal(key);
        permit
    }

    /// Whether the permit was sealed with `key` and has not been changed since.
    pub fn has_valid_seal(&self, key: &PermitKey) -> bool {
        // `blake3::Hash` compares in constant time.
        let seal = blake3::Hash::from_bytes(*self.seal.as_bytes());
        seal == blake3::Hash::from_bytes(*self.compute_seal(key).as_bytes())
    }

    /// Digest of all fields but the seal, each text preceded by its length.
    fn compute_seal(&self, key: &PermitKey) -> Digest {
        let mut hasher = blake3::Hasher::new_keyed(&key.0);
        let address = self.address.to_string();
        for text in [&self.endpoint, &address, &self.branch, &self.service] {
            hasher.update(&(text.len() as u64).to_be_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(&self.incarnation.to_be_bytes());
        hasher.update(&self.epoch.to_be_bytes());
        hasher.update(&self.nonce.to_bytes());
        Digest::from(hasher.finalize())
    }
}
