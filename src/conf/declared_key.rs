/// A key that a role's settings may hold.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeclaredKey {
    /// Section header without brackets.
    pub section: String,
    /// Name of the key.
    pub key: &'static str,
    /// Values it accepts.
    pub allowed: String,
    /// Value used when the key is absent; none for a required key.
    pub default: Option<String>,
}
