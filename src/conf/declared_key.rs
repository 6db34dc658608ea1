/// Key that the settings of a role may contain.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeclaredKey {
    /// Section without brackets.
    pub section: String,
    /// Name of the key.
    pub key: &'static str,
    /// Description of the accepted values.
    pub allowed: String,
    /// Value when the key is absent; `None` if the key is required.
    pub default: Option<String>,
}
