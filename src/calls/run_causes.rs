use crate::weights::Digest;

/// Largest number of parts of a prompt that are told apart; the rest can't be suspected.
const MAX_PARTS: usize = 64;

/// Largest number of parts that a log line names.
const MAX_LOGGED_PARTS: usize = 8;

/// What may be the cause if a replica crashes while it runs a request: the request as a whole,
/// or one part of its prompt that other requests have as well.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunCauses {
    /// Digest of the whole request, equal for every retry of it.
    pub request: Digest,
    /// Digest of the service that runs it, which stands for all runs there.
    pub service: Digest,
    // In the order of the prompt, without repeats.
    parts: Vec<Digest>,
}

impl RunCauses {
    /// Causes of a run of `request` at `service`, whose prompt shares the parts with these ids
    /// with other requests.
    pub fn new<P: AsRef<[u8]>>(
        request: Digest,
        service: &str,
        part_ids: impl IntoIterator<Item = P>,
    ) -> Self {
        let mut parts = Vec::new();
        for id in part_ids {
            let part = part_digest(service, id.as_ref());
            if !parts.contains(&part) {
                parts.push(part);
            }
            if parts.len() == MAX_PARTS {
                break;
            }
        }
        Self {
            request,
            service: part_digest(service, b""),
            parts,
        }
    }

    /// The same without the parts.
    pub fn without_parts(&self) -> Self {
        Self {
            parts: Vec::new(),
            ..*self
        }
    }

    /// Digests of the shared parts.
    pub fn parts(&self) -> &[Digest] {
        &self.parts
    }

    /// The request and the shared parts.
    pub fn all(&self) -> impl Iterator<Item = Digest> {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }

    /// Short digests of the first parts, separated by commas, for logs.
    pub fn parts_label(&self) -> String {
        let logged = self.parts.iter().take(MAX_LOGGED_PARTS);
        let labels: Vec<String> = logged.map(Digest::short_hex).collect();
        labels.join(",")
    }
}

/// Digest of a part of a prompt: what one service runs to an end may crash another.
fn part_digest(service: &str, id: &[u8]) -> Digest {
    let mut hasher = blake3::Hasher::new_derive_key("bergamotfork part of a prompt");
    hasher.update(&(service.len() as u64).to_be_bytes());
    hasher.update(service.as_bytes());
    hasher.update(id);
    Digest::from(hasher.finalize())
}
