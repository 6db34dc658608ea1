/// What is known of whether a replica has begun a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeginSign {
    /// A report or bytes of the answer show that it has.
    Running,
    /// It should have begun well before, and nothing speaks against that.
    Predicted,
    /// It may still wait at the replica.
    Unknown,
}
