use super::SettingsReader;
use crate::weights::Digest;

/// First word of the section of a team; the name of the team follows.
const SECTION_PREFIX: &str = "team";

/// Description of the accepted token digests.
const TOKEN_DIGEST_ALLOWED: &str =
    "64 hexadecimal digits, as `bergamotfork token digest` prints them";

/// Description of the accepted section patterns.
const SECTIONS_ALLOWED: &str = "section patterns separated by commas, such as `model *`";

/// Credentials of a team of operators and the configuration it may write.
#[derive(Debug, Clone)]
pub struct TeamSettings {
    /// Name of the team.
    pub name: String,
    /// Digest of its bearer token.
    pub token_digest: Digest,
    /// Patterns of the configuration sections that it may write.
    pub sections: Vec<String>,
}

impl TeamSettings {
    /// Whether the team may write the configuration section `name`.
    pub fn may_write(&self, name: &str) -> bool {
        self.sections
            .iter()
            .any(|pattern| pattern_matches(pattern, name))
    }

    /// Reads the sections of all teams; teams without a valid token digest are left out.
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

    /// Reads the section of one team; `None` when its token digest is missing or invalid.
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

    /// Declares the keys of a team under the placeholder `NAME`, to list them.
    pub(super) fn declare_keys(reader: &mut SettingsReader) {
        let _ = Self::read(reader, "NAME".to_owned());
    }
}

/// Whether `pattern` matches `name`; only the first `*` of a pattern is a wildcard.
fn pattern_matches(pattern: &str, name: &str) -> bool {
    let Some((start, end)) = pattern.split_once('*') else {
        return pattern == name;
    };
    name.len() >= start.len() + end.len() && name.starts_with(start) && name.ends_with(end)
}
