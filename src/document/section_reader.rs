use std::ops::RangeInclusive;

use ini::Properties;

use crate::document::FaultReason;
use crate::document::Section;
use crate::document::SectionFault;
use crate::document::key_change::parse_body;
use crate::weights::Digest;

/// Reads the values of one section and collects the faults found.
#[derive(Debug)]
pub struct SectionReader<'a> {
    section: &'a Section,
    properties: Properties,
    faults: Vec<SectionFault>,
}

impl<'a> SectionReader<'a> {
    /// Parses the body of `section` and checks that its keys are among `known`.
    pub fn new(section: &'a Section, known: &[&str]) -> Result<Self, Vec<SectionFault>> {
        let ini = parse_body(&section.body).map_err(|error| {
            vec![SectionFault {
                section: section.name.clone(),
                key: None,
                reason: FaultReason::NotIni(error.to_string()),
            }]
        })?;
        let mut reader = Self {
            section,
            properties: ini.general_section().clone(),
            faults: Vec::new(),
        };
        reader.check_keys(known);
        Ok(reader)
    }

    /// Returns the text of `key`; adds a fault if it is missing or empty.
    pub fn required_text(&mut self, key: &str) -> String {
        match self.properties.get(key) {
            Some(value) if !value.is_empty() => value.to_owned(),
            Some(value) => {
                let value = value.to_owned();
                self.add_invalid_value(key, value, "a non-empty text");
                String::new()
            }
            None => {
                self.add_fault(key, FaultReason::MissingKey);
                String::new()
            }
        }
    }

    /// Returns the text of `key`; `None` if it is missing or empty.
    pub fn optional_text(&self, key: &str) -> Option<String> {
        let value = self.properties.get(key)?;
        (!value.is_empty()).then(|| value.to_owned())
    }

    /// Returns the digest of `key`; adds a fault if it is missing or invalid.
    pub fn required_digest(&mut self, key: &str) -> Digest {
        let placeholder = Digest::of_bytes(&[]);
        let Some(value) = self.properties.get(key).map(str::to_owned) else {
            self.add_fault(key, FaultReason::MissingKey);
            return placeholder;
        };
        value.parse().unwrap_or_else(|_| {
            self.add_invalid_value(key, value, "a digest of 64 hexadecimal digits");
            placeholder
        })
    }

    /// Returns the number of `key`, or `default` if the key is missing; adds a fault if
    /// the value is not a number in `range`.
    pub fn number_or(&mut self, key: &str, range: RangeInclusive<u32>, default: u32) -> u32 {
        let Some(value) = self.properties.get(key).map(str::to_owned) else {
            return default;
        };
        match value.parse() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let allowed = format!("a number from {} to {}", range.start(), range.end());
                self.add_invalid_value(key, value, &allowed);
                default
            }
        }
    }

    /// Returns the number of `key`; adds a fault if it is missing or not in `range`.
    pub fn required_number(&mut self, key: &str, range: RangeInclusive<u32>) -> u32 {
        if self.properties.get(key).is_none() {
            self.add_fault(key, FaultReason::MissingKey);
        }
        let default = *range.start();
        self.number_or(key, range, default)
    }

    /// Returns the items of `key`, separated by commas; empty if the key is missing.
    pub fn list(&self, key: &str) -> Vec<String> {
        let value = self.properties.get(key).unwrap_or_default();
        value
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
            .map(str::to_owned)
            .collect()
    }

    /// Adds the fault that `value` is not `allowed`.
    pub fn add_invalid_value(&mut self, key: &str, value: String, allowed: &str) {
        let allowed = allowed.to_owned();
        self.add_fault(key, FaultReason::InvalidValue { value, allowed });
    }

    /// Returns `value`, or the faults if any were found.
    pub fn into_result<T>(self, value: T) -> Result<T, Vec<SectionFault>> {
        if self.faults.is_empty() {
            return Ok(value);
        }
        Err(self.faults)
    }

    /// Adds a fault for each key that is repeated or not in `known`.
    fn check_keys(&mut self, known: &[&str]) {
        let mut checked: Vec<String> = Vec::new();
        let keys: Vec<String> = self
            .properties
            .iter()
            .map(|(key, _)| key.to_owned())
            .collect();
        for key in keys {
            if checked.contains(&key) {
                self.add_fault(&key, FaultReason::RepeatedKey);
            } else if !known.contains(&key.as_str()) {
                let known = known.iter().map(|key| (*key).to_owned()).collect();
                self.add_fault(&key, FaultReason::UnknownKey { known });
            }
            checked.push(key);
        }
    }

    fn add_fault(&mut self, key: &str, reason: FaultReason) {
        self.faults.push(SectionFault {
            section: self.section.name.clone(),
            key: Some(key.to_owned()),
            reason,
        });
    }
}
