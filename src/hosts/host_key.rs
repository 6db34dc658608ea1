/// Key of a host in a [`Roster`](crate::hosts::Roster); finds nothing once the host is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostKey {
    pub(super) index: u32,
    pub(super) generation: u32,
}
