use ini::Ini;
use ini::ParseOption;
use serde::Deserialize;
use serde::Serialize;

/// Difference of one key between two section bodies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// Name of the key.
    pub key: String,
    /// Value in the first body; `None` if the key is absent there.
    pub before: Option<String>,
    /// Value in the second body; `None` if the key is absent there.
    pub after: Option<String>,
}

impl KeyChange {
    /// Lists the keys that differ, in the order of `before`, then the added keys in the
    /// order of `after`; `None` if one of the bodies is not INI.
    pub fn between(before: &str, after: &str) -> Option<Vec<Self>> {
        let before = key_values(before)?;
        let after = key_values(after)?;
        let find = |values: &[(String, String)], key: &str| {
            let found = values.iter().find(|(other, _)| other == key);
            found.map(|(_, value)| value.clone())
        };
        let added = after.iter().filter(|(key, _)| find(&before, key).is_none());
        let changes = before.iter().chain(added).map(|(key, _)| Self {
            key: key.clone(),
            before: find(&before, key),
            after: find(&after, key),
        });
        Some(
            changes
                .filter(|change| change.before != change.after)
                .collect(),
        )
    }
}

/// Parses a body into its keys and values, in order.
fn key_values(body: &str) -> Option<Vec<(String, String)>> {
    let ini = parse_body(body).ok()?;
    let pairs = ini.general_section().iter();
    Some(
        pairs
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect(),
    )
}

/// Parses a body as INI; quotes and backslashes have no special meaning.
pub(super) fn parse_body(body: &str) -> Result<Ini, ini::ParseError> {
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    Ini::load_from_str_opt(body, options)
}
