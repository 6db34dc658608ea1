//! Settings files: the examples are valid and contain every key, and each file in `bad`
//! yields exactly the faults that its `; fault:` lines list.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use bergamotfork::conf;
use bergamotfork::conf::BackendSettings;
use bergamotfork::conf::ClusterSettings;
use bergamotfork::conf::EndpointSettings;
use bergamotfork::conf::EntrySettings;
use bergamotfork::hosts::HostRole;

/// Settings files in `folder`, sorted by path.
fn settings_files(folder: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let mut files: Vec<PathBuf> = fs::read_dir(root)
        .expect("the folder exists")
        .map(|file| file.expect("the folder is readable").path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "ini"))
        .collect();
    files.sort();
    assert!(!files.is_empty(), "{folder} holds no settings files");
    files
}

fn example_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name)
}

/// Faults that the check reports for `file`, as "[section] key value: problem".
fn reported_faults(file: &Path) -> BTreeSet<String> {
    let found = conf::check_file(file).expect_err("the file has faults").0;
    let mut lines = BTreeSet::new();
    for fault in found {
        assert_eq!(fault.file, file);
        assert!(!fault.allowed.is_empty(), "{fault}");
        let value = fault.value.unwrap_or("-".to_owned());
        let line = format!(
            "[{}] {} {value}: {}",
            fault.section, fault.key, fault.problem
        );
        assert!(lines.insert(line.clone()), "reported twice: {line}");
    }
    lines
}

/// Faults that the `; fault:` lines of `file` list.
fn expected_faults(file: &Path) -> BTreeSet<String> {
    let text = fs::read_to_string(file).expect("the file is readable");
    text.lines()
        .filter_map(|line| line.strip_prefix("; fault: "))
        .map(str::to_owned)
        .collect()
}

#[test]
fn check_examples() {
    for file in settings_files("examples") {
        let role = conf::check_file(&file).unwrap_or_else(|faults| panic!("{faults}"));
        let name = file.file_name().unwrap_or_default().to_string_lossy();
        assert!(name.starts_with(conf::role_name(role)), "{name}");
    }
}

#[test]
fn check_bad_files() {
    for file in settings_files("tests/settings/bad") {
        assert_eq!(
            reported_faults(&file),
            expected_faults(&file),
            "{}",
            file.display()
        );
    }
}

#[test]
fn check_missing_file() {
    let faults = conf::check_file("tests/settings/no-such-file.ini")
        .expect_err("the file does not exist")
        .0;
    assert_eq!(faults.len(), 1);
    assert!(faults[0].problem.contains("cannot be read"));
}

#[test]
fn load_wrong_role() {
    let faults = EntrySettings::load(example_path("endpoint-engine.ini"))
        .expect_err("the file is for the other role")
        .0;
    assert!(
        faults
            .iter()
            .any(|f| f.key == "role" && f.problem.contains("another role"))
    );
}

#[test]
fn load_entry_defaults() {
    let loaded = EntrySettings::load(example_path("entry.ini")).expect("the example is valid");
    let constructed = EntrySettings::new(
        loaded.process.clone(),
        loaded.platform.clone(),
        ClusterSettings::new(loaded.cluster.shared_key.clone()),
    );
    assert_eq!(loaded.teams.len(), 2);
    let without_teams = EntrySettings {
        teams: Vec::new(),
        ..loaded
    };
    assert_eq!(format!("{constructed:?}"), format!("{without_teams:?}"));
}

#[test]
fn load_endpoint_defaults() {
    let loaded =
        EndpointSettings::load(example_path("endpoint-engine.ini")).expect("the example is valid");
    let constructed = EndpointSettings::new(
        loaded.process.clone(),
        loaded.platform.clone(),
        ClusterSettings::new(loaded.cluster.shared_key.clone()),
        BackendSettings::Engine {
            url: loaded.backend.url().to_owned(),
            checks_orders: false,
        },
    );
    assert_eq!(format!("{constructed:?}"), format!("{loaded:?}"));
}

#[test]
fn debug_hides_shared_key() {
    let settings = ClusterSettings::new("a-very-long-secret");
    assert!(!format!("{settings:?}").contains("secret"));
}

#[test]
fn declared_keys_in_examples() {
    let cases = [
        (HostRole::Entry, vec!["entry.ini"]),
        (
            HostRole::Endpoint,
            vec!["endpoint-engine.ini", "endpoint-service.ini"],
        ),
    ];
    for (role, names) in cases {
        let text: String = names
            .iter()
            .map(|name| fs::read_to_string(example_path(name)).expect("the example exists"))
            .collect();
        for key in conf::declared_keys(role) {
            let line = format!("\n{} = ", key.key);
            assert!(
                text.contains(&line),
                "key missing in {names:?}: {}",
                key.key
            );
        }
    }
}
