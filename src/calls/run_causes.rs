use std::cmp::Reverse;
use std::sync::Arc;

use crate::calls::CrashId;
use crate::weights::Digest;

/// Largest number of parts of a prompt that one crash makes suspect. Parts of which runs have
/// ended lately are not among them, so the others are few but in prompts made for this limit; it
/// bounds what a crash takes of the table and of the notices to other entries.
const MAX_SUSPECT_PARTS: usize = 256;

/// Largest number of parts that a log line names.
const MAX_LOGGED_PARTS: usize = 8;

/// What may be the cause if a replica crashes while it runs a request: the request as a whole,
/// or one part of its prompt that other requests have as well.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunCauses {
    /// Digest of the whole request at its service, equal for every retry of it there.
    pub request: Digest,
    /// Digest of the whole request at any service, if it is told apart from `request`.
    pub identity: Option<Digest>,
    /// Digest of the service that runs it, which stands for all runs there.
    pub service: Digest,
    // In the order of the prompt, without repeats; as many as the head holds.
    parts: Arc<[Digest]>,
    // The same parts, in the same order, as each other service has them that may run it.
    parts_elsewhere: Arc<[Vec<Digest>]>,
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
        let ids = without_repeats(part_ids.into_iter().collect());
        let parts_at = |service: &str| -> Vec<Digest> {
            let parts = ids.iter().map(|id| part_digest(service, id.as_ref()));
            parts.collect()
        };
        Self {
            request,
            identity: None,
            service: part_digest(service, b""),
            parts: parts_at(service).into(),
            parts_elsewhere: elsewhere.into_iter().map(parts_at).collect(),
        }
    }

    /// The same for a request that is the same one at any service.
    pub fn with_identity(mut self, identity: Digest) -> Self {
        self.identity = Some(identity);
        self
    }

    /// What of the causes a crash makes suspect: of the parts that `may_be_cause`, those with the
    /// most crashes before. Which of the others are left out differs from crash to crash.
    pub fn suspects_of(
        &self,
        crash: &CrashId,
        may_be_cause: impl Fn(Digest) -> bool,
        crash_count: impl Fn(Digest) -> usize,
    ) -> Self {
        let parts = self.parts.iter().copied();
        let mut parts: Vec<Digest> = parts.filter(|part| may_be_cause(*part)).collect();
        if parts.len() > MAX_SUSPECT_PARTS {
            let turn = part_digest(&crash.endpoint, &crash.incarnation.to_be_bytes()).seed();
            let turn = turn % parts.len() as u64;
            parts.rotate_left(turn as usize);
            parts.sort_by_cached_key(|part| Reverse(crash_count(*part)));
            parts.truncate(MAX_SUSPECT_PARTS);
        }
        Self {
            parts: parts.into(),
            parts_elsewhere: Arc::default(),
            ..self.clone()
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

    /// Memory that the digests of the parts take, in bytes.
    pub fn held_bytes(&self) -> usize {
        let elsewhere: usize = self.parts_elsewhere.iter().map(Vec::len).sum();
        (self.parts.len() + elsewhere) * size_of::<Digest>()
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

/// The ids in the same order, each but once.
fn without_repeats<P: AsRef<[u8]>>(ids: Vec<P>) -> Vec<P> {
    let mut first: Vec<usize> = (0..ids.len()).collect();
    first.sort_by_key(|at| ids[*at].as_ref());
    first.dedup_by_key(|at| ids[*at].as_ref());
    first.sort_unstable();
    let mut at = 0..;
    let mut ids = ids;
    ids.retain(|_| {
        let at = at.next();
        at.is_some_and(|at| first.binary_search(&at).is_ok())
    });
    ids
}

/// Digest of a part of a prompt: what one service runs to an end may crash another.
fn part_digest(service: &str, id: &[u8]) -> Digest {
    let mut hasher = blake3::Hasher::new_derive_key("bergamotfork part of a prompt");
    hasher.update(&(service.len() as u64).to_be_bytes());
    hasher.update(service.as_bytes());
    hasher.update(id);
    Digest::from(hasher.finalize())
}
