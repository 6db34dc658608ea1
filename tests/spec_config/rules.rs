/// The protective rules of the protocol; `false` removes one.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// An edit is accepted only from the section's current revision.
    pub base_revision: bool,
    /// A repeated edit id gets its first outcome.
    pub edit_memory: bool,
    /// A checkpoint is adopted only when it is ahead.
    pub adopt_forward_only: bool,
    /// A record is applied only at the head.
    pub gap_check: bool,
    /// A fresh entry waits for a majority of the entries.
    pub majority: bool,
    /// Only entries past their own bootstrap count towards the majority.
    pub voters_only: bool,
    /// A peer's confirmation counts only if it came after the start.
    pub confirmed_after_start: bool,
}

impl Rules {
    pub const ALL: Self = Self {
        base_revision: true,
        edit_memory: true,
        adopt_forward_only: true,
        gap_check: true,
        majority: true,
        voters_only: true,
        confirmed_after_start: true,
    };
}
