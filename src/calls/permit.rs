use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::Nonce;
use crate::weights::Digest;

/// Context string that separates permit keys from other uses of the shared key.
const KEY_CONTEXT: &str = "bergamotfork permit 1";

/// Key that entries seal permits with, derived from the shared key.
#[derive(Debug, Clone)]
pub struct PermitKey([u8; 32]);

impl PermitKey {
    /// Derives the key from the `shared_key` of the processes.
    pub fn derive(shared_key: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, shared_key.as_bytes()))
    }
}

/// Where a permit is good: one incarnation and epoch of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitPlace {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Address of its process.
    pub address: SocketAddr,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Epoch of its permit table.
    pub epoch: u64,
}

/// Allows one call that may not be repeated, on one endpoint only.
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
    /// Name of the call.
    pub nonce: Nonce,
    /// Branch it was issued to.
    pub branch: String,
    /// Service it may be used for.
    pub service: String,
    /// Keyed digest of the fields above.
    pub seal: Digest,
}

impl Permit {
    /// Issues a permit for a fresh call.
    pub fn issue(key: &PermitKey, place: PermitPlace, branch: &str, service: &str) -> Self {
        Self::with_nonce(key, place, branch, service, Nonce::random())
    }

    /// Issues a permit with a given nonce.
    pub fn with_nonce(
        key: &PermitKey,
        place: PermitPlace,
        branch: &str,
        service: &str,
        nonce: Nonce,
    ) -> Self {
        let mut permit = Self {
            endpoint: place.endpoint,
            address: place.address,
            incarnation: place.incarnation,
            epoch: place.epoch,
            nonce,
            branch: branch.to_owned(),
            service: service.to_owned(),
            seal: Digest::of_bytes(&[]),
        };
        permit.seal = permit.seal_with(key);
        permit
    }

    /// Whether an entry that holds `key` issued it, unchanged.
    pub fn is_genuine(&self, key: &PermitKey) -> bool {
        // Hashes compare in constant time.
        let seal = blake3::Hash::from_bytes(*self.seal.as_bytes());
        seal == blake3::Hash::from_bytes(*self.seal_with(key).as_bytes())
    }

    fn seal_with(&self, key: &PermitKey) -> Digest {
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
