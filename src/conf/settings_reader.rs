use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;

use ini::Ini;
use ini::Properties;

use super::DeclaredKey;
use super::NumberKey;
use super::SettingsFault;
use super::SettingsFaults;

/// Placeholder for a secret value in a fault.
const HIDDEN: &str = "(hidden)";

/// Description of the accepted names, which become part of paths and section headers.
pub(super) const NAME_ALLOWED: &str = "a name of ASCII letters, digits, '-', '_' and '.'";

/// Reads typed values from a settings file and collects all faults.
///
/// The value of a faulty or missing key is a placeholder. [`SettingsReader::finish`]
/// then returns the faults, so that no placeholder is ever used.
#[derive(Debug)]
pub struct SettingsReader {
    file: PathBuf,
    ini: Ini,
    /// Keys declared so far; any other key is a fault.
    declared: Vec<DeclaredKey>,
    /// Sections with declared keys; any other section is a fault.
    sections: BTreeSet<String>,
    faults: Vec<SettingsFault>,
}

impl SettingsReader {
    /// Reads and parses the file at `path`.
    ///
    /// # Errors
    ///
    /// [`SettingsFaults`] when the file can't be read or is not an INI file.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, SettingsFaults> {
        let file = path.as_ref().to_path_buf();
        let text = match fs::read_to_string(&file) {
            Ok(text) => text,
            Err(error) => return Err(unreadable_file(file, error.to_string())),
        };
        match Ini::load_from_str_noescape(&text) {
            Ok(ini) => Ok(Self::from_ini(file, ini)),
            Err(error) => Err(unreadable_file(file, error.to_string())),
        }
    }

    /// Creates a reader of an empty file, to collect the declared keys.
    pub fn empty() -> Self {
        Self::from_ini(PathBuf::new(), Ini::new())
    }

    /// Creates a reader of a parsed file.
    fn from_ini(file: PathBuf, ini: Ini) -> Self {
        Self {
            file,
            ini,
            declared: Vec::new(),
            sections: BTreeSet::new(),
            faults: Vec::new(),
        }
    }

    /// Names after `prefix` and a space in the section headers that start so.
    pub fn section_suffixes(&self, prefix: &str) -> Vec<String> {
        let mut names: Vec<String> = self
            .ini
            .sections()
            .flatten()
            .filter_map(|section| section.strip_prefix(prefix)?.strip_prefix(' '))
            .map(|name| name.trim().to_owned())
            .collect();
        names.dedup();
        names
    }

    /// Whether the file contains `section`.
    pub fn has_section(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    /// Whether the file contains `key` in `section`.
    pub fn has_key(&self, section: &str, key: &str) -> bool {
        self.raw_value(section, key).is_some()
    }

    /// Reads a required name.
    pub fn name(&mut self, section: &str, key: &'static str) -> String {
        self.parse(section, key, NAME_ALLOWED, None, parse_name)
            .unwrap_or_default()
    }

    /// Reads a name with a default.
    pub fn name_or(&mut self, section: &str, key: &'static str, default: &str) -> String {
        self.parse(section, key, NAME_ALLOWED, Some(default), parse_name)
            .unwrap_or_default()
    }

    /// Reads a required secret of at least `min_chars` characters, hidden in faults.
    pub fn secret(&mut self, section: &str, key: &'static str, min_chars: usize) -> String {
        let allowed = format!("at least {min_chars} characters");
        let secret = self.parse(section, key, &allowed, None, |text| {
            (text.chars().count() >= min_chars).then(|| text.to_owned())
        });
        for fault in &mut self.faults {
            if fault.section == section && fault.key == key && fault.value.is_some() {
                fault.value = Some(HIDDEN.to_owned());
            }
        }
        secret.unwrap_or_default()
    }

    /// Reads a number with a default.
    pub fn number(&mut self, section: &str, number: &NumberKey) -> u64 {
        let default = number.default.to_string();
        let allowed = number.allowed();
        self.parse(section, number.key, &allowed, Some(&default), |text| {
            let is_digits = text.bytes().all(|byte| byte.is_ascii_digit());
            let value: u64 = text.parse().ok().filter(|_| is_digits)?;
            number.range.contains(&value).then_some(value)
        })
        .unwrap_or(number.default)
    }

    /// Reads one of the named `choices`; the key is required when `default` is `None`.
    pub fn choice<T: Copy>(
        &mut self,
        section: &str,
        key: &'static str,
        choices: &[(&str, T)],
        default: Option<&str>,
    ) -> Option<T> {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let allowed = names.join(", ");
        self.parse(section, key, &allowed, default, |text| {
            let found = choices.iter().find(|(name, _)| *name == text);
            found.map(|(_, choice)| *choice)
        })
    }

    /// Reads a required value with its implementation of `FromStr`.
    pub fn value<T: FromStr>(
        &mut self,
        section: &str,
        key: &'static str,
        allowed: &str,
    ) -> Option<T> {
        self.parse(section, key, allowed, None, |text| text.parse().ok())
    }

    /// Reads a required list separated by commas; empty items are a fault.
    pub fn list(&mut self, section: &str, key: &'static str, allowed: &str) -> Vec<String> {
        self.parse(section, key, allowed, None, |text| {
            let items: Vec<String> = text.split(',').map(|item| item.trim().to_owned()).collect();
            items.iter().all(|item| !item.is_empty()).then_some(items)
        })
        .unwrap_or_default()
    }

    /// Reads a required URL of the form `http://IP:port`, without a path.
    pub fn url(&mut self, section: &str, key: &'static str) -> String {
        let allowed = "http://IP:port, such as http://127.0.0.1:7001";
        self.parse(section, key, allowed, None, |text| {
            let address = parse_url_address(text)?;
            (address.port() != 0).then(|| text.to_owned())
        })
        .unwrap_or_default()
    }

    /// Declares and parses a key; adds a fault and returns `None` when it is missing or
    /// invalid.
    fn parse<T>(
        &mut self,
        section: &str,
        key: &'static str,
        allowed: &str,
        default: Option<&str>,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        self.declare_key(section, key, allowed, default);
        let found = self.raw_value(section, key).map(str::to_owned);
        let Some(text) = found.as_deref().or(default) else {
            self.add_fault(section, key, None, "the key is missing", allowed);
            return None;
        };
        let value = parse(text);
        if value.is_none() {
            self.add_fault(section, key, Some(text), "the value is invalid", allowed);
        }
        value
    }

    /// Declares a key, so that it is accepted, without reading it.
    pub(super) fn declare_key(
        &mut self,
        section: &str,
        key: &'static str,
        allowed: &str,
        default: Option<&str>,
    ) {
        self.sections.insert(section.to_owned());
        self.declared.push(DeclaredKey {
            section: section.to_owned(),
            key,
            allowed: allowed.to_owned(),
            default: default.map(str::to_owned),
        });
    }

    /// Text of a key in the file, trimmed.
    fn raw_value(&self, section: &str, key: &str) -> Option<&str> {
        let properties = self.ini.section(Some(section))?;
        properties.get(key).map(str::trim)
    }

    /// Adds a fault of a key, a section or a combination of keys.
    pub fn add_fault(
        &mut self,
        section: &str,
        key: &str,
        value: Option<&str>,
        problem: &str,
        allowed: &str,
    ) {
        self.faults.push(SettingsFault {
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.map(str::to_owned),
            problem: problem.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    /// Keys declared so far.
    pub fn into_declared_keys(self) -> Vec<DeclaredKey> {
        self.declared
    }

    /// Faults found so far.
    pub fn into_faults(self) -> SettingsFaults {
        SettingsFaults(self.faults)
    }

    /// Checks for unknown and repeated sections and keys and returns all faults.
    ///
    /// # Errors
    ///
    /// [`SettingsFaults`] when there is any fault.
    pub fn finish(mut self) -> Result<(), SettingsFaults> {
        self.check_keys_outside_sections();
        self.check_sections();
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(self.into_faults())
    }

    /// Adds a fault for each key before the first section.
    fn check_keys_outside_sections(&mut self) {
        let outside_keys: Vec<(String, String)> = key_value_pairs(self.ini.general_section());
        let known = self.known_sections();
        for (key, value) in outside_keys {
            let allowed = format!("keys inside the sections {known}");
            self.add_fault(
                "",
                &key,
                Some(&value),
                "the key is outside any section",
                &allowed,
            );
        }
    }

    /// Adds a fault for each unknown section and checks the keys of the others.
    fn check_sections(&mut self) {
        let mut names: Vec<String> = self.ini.sections().flatten().map(str::to_owned).collect();
        names.sort_unstable();
        names.dedup();
        for name in names {
            if self.sections.contains(&name) {
                self.check_section(&name);
            } else {
                let allowed = format!("the sections {}", self.known_sections());
                self.add_fault(&name, "", None, "the section is unknown", &allowed);
            }
        }
    }

    /// Adds a fault for a repeated section and for its unknown and repeated keys.
    fn check_section(&mut self, section: &str) {
        let occurrences: Vec<Vec<(String, String)>> = self
            .ini
            .section_all(Some(section))
            .map(key_value_pairs)
            .collect();
        if occurrences.len() > 1 {
            self.add_fault(
                section,
                "",
                None,
                "the section is repeated",
                "one of each section",
            );
        }
        let known = self.known_keys(section);
        let mut found_keys = BTreeSet::new();
        for (key, value) in occurrences.into_iter().flatten() {
            if !known.contains(&key.as_str()) {
                let allowed = format!("the keys {}", known.join(", "));
                self.add_fault(section, &key, Some(&value), "the key is unknown", &allowed);
            } else if !found_keys.insert(key.clone()) {
                self.add_fault(section, &key, None, "the key is repeated", "each key once");
            }
        }
    }

    /// Keys declared in `section`, in order of declaration.
    fn known_keys(&self, section: &str) -> Vec<&'static str> {
        let mut keys: Vec<&'static str> = self
            .declared
            .iter()
            .filter(|declared| declared.section == section)
            .map(|declared| declared.key)
            .collect();
        keys.dedup();
        keys
    }

    /// Sections with declared keys, as a list for messages.
    fn known_sections(&self) -> String {
        let names: Vec<String> = self
            .sections
            .iter()
            .map(|name| format!("[{name}]"))
            .collect();
        names.join(", ")
    }
}

/// Returns `text` if it is an accepted name.
fn parse_name(text: &str) -> Option<String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (!text.is_empty() && text.chars().all(is_allowed)).then(|| text.to_owned())
}

/// Address in a URL such as `http://127.0.0.1:7001`; `None` for any other form.
pub fn parse_url_address(url: &str) -> Option<SocketAddr> {
    url.strip_prefix("http://")?.parse().ok()
}

/// Keys and values of a section, in order, with repetitions.
fn key_value_pairs(properties: &Properties) -> Vec<(String, String)> {
    properties
        .iter()
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect()
}

/// Fault of a file that could not be read or parsed.
fn unreadable_file(file: PathBuf, problem: String) -> SettingsFaults {
    SettingsFaults(vec![SettingsFault {
        file,
        section: String::new(),
        key: String::new(),
        value: None,
        problem: format!("the file cannot be read: {problem}"),
        allowed: "a readable INI file of sections and key = value lines".to_owned(),
    }])
}
