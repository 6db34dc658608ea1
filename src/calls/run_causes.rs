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
    // The same parts, in the same order, as each other service has them that may run it.
    parts_elsewhere: Vec<Vec<Digest>>,
}

impl RunCauses {
    /// Causes of a run of `request` at `service`, whose prompt shares the parts with these ids
    /// with other requests.
    pub fn new<P: AsRef<[u8]>>(
        request: Digest,
        service: &str,
        part_ids: impl IntoIterator<Item = P>,
    ) -> Self {
        Self::of_services(request, service, [], part_ids)
    }

    /// The same for a request that the services `elsewhere` may run in place of `service`.
    pub fn of_services<'a, P: AsRef<[u8]>>(
        request: Digest,
        service: &str,
        elsewhere: impl IntoIterator<Item = &'a str>,
        part_ids: impl IntoIterator<Item = P>,
    ) -> Self {
        let mut ids: Vec<P> = Vec::new();
        for id in part_ids {
            if ids.len() < MAX_PARTS && !ids.iter().any(|known| known.as_ref() == id.as_ref()) {
                ids.push(id);
            }
        }
        let parts_at = |service: &str| {
            let parts = ids.iter().map(|id| part_digest(service, id.as_ref()));
            parts.collect()
        };
        Self {
            request,
            service: part_digest(service, b""),
            parts: parts_at(service),
            parts_elsewhere: elsewhere.into_iter().map(parts_at).collect(),
        }
    }

    /// Digests of the shared parts.
    pub fn parts(&self) -> &[Digest] {
        &self.parts
    }

    /// The shared parts as each other service has them that may run the request, in the same
    /// order.
    pub fn parts_elsewhere(&self) -> &[Vec<Digest>] {
        &self.parts_elsewhere
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
