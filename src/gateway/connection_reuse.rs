/// Whether a client's connection stays open after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// It stays open for another request.
    Keep,
    /// It is closed.
    Close,
}
