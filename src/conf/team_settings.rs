use super::SettingsReader;
use crate::weights::Digest;

/// Prefix of a team's section.
const SECTION_PREFIX: &str = "team";
const TOKEN_DIGEST_ALLOWED: &str =
    "64 hexadecimal digits, as `bergamotfork token digest` prints them";
const SECTIONS_ALLOWED: &str = "section patterns separated by commas, such as `model *`";

/// What one team of operators may write.
#[derive(Debug, Clone)]
pub struct TeamSettings {
    /// Name of the team.
    pub name: String,
    /// Digest of its bearer token.
    pub token_digest: Digest,
    /// Patterns of the sections that it may write.
    pub sections: Vec<String>,
}

impl TeamSettings {
    /// Whether the team may write the section called `name`.
    pub fn may_write(&self, name: &str) -> bool {
        self.sections
            .iter()
            .any(|pattern| pattern_matches(pattern, name))
    }

    pub(super) fn read_all(reader: &mut SettingsReader) -> Vec<Self> {
        let mut teams: Vec<Self> = Vec::new();
        for name in reader.section_suffixes(SECTION_PREFIX) {
            let Some(team) = Self::read(reader, name) else {
                continue;
            };
            let other = teams.iter().find(|t| t.token_digest == team.token_digest);
            if let Some(other) = other {
                let problem = format!("team {} has the same token", other.name);
                let section = format!("{SECTION_PREFIX} {}", team.name);
                reader.add_fault(&section, "token_digest", None, &problem, "one token a team");
            }
            teams.push(team);
        }
        teams
    }

    fn read(reader: &mut SettingsReader, name: String) -> Option<Self> {
        let section = format!("{SECTION_PREFIX} {name}");
        let token_digest = reader.value(&section, "token_digest", TOKEN_DIGEST_ALLOWED);
        let sections = reader.list(&section, "sections", SECTIONS_ALLOWED);
        Some(Self {
            name,
            token_digest: token_digest?,
            sections,
        })
    }

    /// Declares the keys of a team for the list of keys.
    pub(super) fn declare_keys(reader: &mut SettingsReader) {
        let _ = Self::read(reader, "NAME".to_owned());
    }
}

/// Whether `pattern` covers `name`; `*` stands for any text, once a pattern.
fn pattern_matches(pattern: &str, name: &str) -> bool {
    let Some((start, end)) = pattern.split_once('*') else {
        return pattern == name;
    };
    name.len() >= start.len() + end.len() && name.starts_with(start) && name.ends_with(end)
}
