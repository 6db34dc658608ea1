/// Protective rules of the protocol; `false` removes the rule.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// An edit is accepted only if its base revision is the section's current revision.
    pub base_revision: bool,
    /// A repeated edit id keeps its first outcome.
    pub edit_deduplication: bool,
    /// A checkpoint is applied only if it is ahead.
    pub forward_only_checkpoints: bool,
    /// A record is applied only if its offset is the head.
    pub gap_check: bool,
    /// An entry that just started waits for a majority of the entries.
    pub majority: bool,
    /// Only entries that were confirmed after their own start count towards the majority.
    pub voters_only: bool,
    /// A peer's confirmation counts only if it is more recent than the start.
    pub confirmed_after_start: bool,
}

impl Rules {
    /// All rules in place.
    pub const ALL: Self = Self {
        base_revision: true,
        edit_deduplication: true,
        forward_only_checkpoints: true,
        gap_check: true,
        majority: true,
        voters_only: true,
        confirmed_after_start: true,
    };
}
