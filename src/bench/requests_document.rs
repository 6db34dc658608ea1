use std::net::SocketAddr;

use super::requests_model::MODEL;
use super::requests_model::TOKEN;
use super::requests_model::manifest_digest;
use super::requests_scenario::BRANCHES;
use super::requests_scenario::ENDPOINTS;
use crate::conf::ClusterSettings;
use crate::conf::EntrySettings;
use crate::conf::PlatformSettings;
use crate::conf::ProcessSettings;
use crate::document::Edit;
use crate::document::LogRecord;
use crate::document::follow::EncodedRecord;
use crate::document::follow::LogPage;
use crate::hosts::HostRole;
use crate::weights::Digest;

/// Key with which the processes authenticate each other.
const SHARED_KEY: &str = "a key of the bench";

/// Settings of the entry with index `number`.
pub(super) fn entry_settings(number: usize, listen: SocketAddr) -> EntrySettings {
    let name = format!("entry-{number}");
    let process = ProcessSettings::new(HostRole::Entry, name, "or-north", "a", listen);
    // The bench runs without a platform: nothing listens at this address.
    let platform = PlatformSettings::new(
        "http://127.0.0.1:1",
        "http://127.0.0.1:1",
        "http://127.0.0.1:1",
    );
    EntrySettings::new(process, platform, ClusterSettings::new(SHARED_KEY))
}

/// Page with the complete log: one edit for each section.
pub(super) fn log_page() -> LogPage {
    let record = |(offset, (section, body)): (usize, (String, String))| EncodedRecord {
        offset: offset as u64,
        bytes: LogRecord::Edit(Edit {
            edit_id: format!("edit-{offset}"),
            team: "bench".to_owned(),
            section,
            base_revision: 0,
            body: Some(body),
        })
        .encode(),
    };
    let records: Vec<EncodedRecord> = sections().into_iter().enumerate().map(record).collect();
    LogPage {
        earliest: 0,
        next: records.len() as u64,
        records,
    }
}

/// Names and bodies of the sections of the configuration document.
fn sections() -> Vec<(String, String)> {
    let model = format!(
        "version = 1\nmanifest = {}\nreplicas = {ENDPOINTS}\n",
        manifest_digest()
    );
    let token = Digest::of_bytes(TOKEN.as_bytes());
    let share = 100 / BRANCHES.len();
    let branch = format!(
        "token_digest = {token}\nweight = 1\nshare_percent = {share}\nburst_percent = 100\nmodels = {MODEL}\n"
    );
    let mut sections = vec![(format!("model {MODEL}"), model)];
    sections.extend(BRANCHES.map(|name| (format!("branch {name}"), branch.clone())));
    sections
}
