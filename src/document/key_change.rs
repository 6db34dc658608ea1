use ini::Ini;
use ini::ParseOption;
use serde::Deserialize;
use serde::Serialize;

/// One key whose value differs between two bodies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// The key.
    pub key: String,
    /// Value before; `None` if the key was absent.
    pub before: Option<String>,
    /// Value after; `None` if the key goes.
    pub after: Option<String>,
}

impl KeyChange {
    /// Keys that differ between two bodies, in the order they stand; `None` if one is not INI.
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

fn key_values(body: &str) -> Option<Vec<(String, String)>> {
    let ini = parse_body(body).ok()?;
    let pairs = ini.general_section().iter();
    Some(
        pairs
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect(),
    )
}

/// Reads a body as INI without quotes and escapes.
pub(super) fn parse_body(body: &str) -> Result<Ini, ini::ParseError> {
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    Ini::load_from_str_opt(body, options)
}
