use std::fs;
use std::path::Path;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/INVARIANTS.md");
const TESTS: [&str; 2] = [
    concat!(env!("CARGO_MANIFEST_DIR"), "/tests"),
    concat!(env!("CARGO_MANIFEST_DIR"), "/platform/tests"),
];

/// Concatenated Rust sources of `folder` and its subfolders.
fn read_sources(folder: &Path) -> String {
    let mut text = String::new();
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            text.push_str(&read_sources(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&fs::read_to_string(&path).expect("the source can be read"));
        }
    }
    text
}

#[test]
fn invariants_name_tests_that_exist() {
    let page = fs::read_to_string(PAGE).expect("the page can be read");
    let sources = TESTS.map(|folder| read_sources(Path::new(folder))).concat();
    // Only table rows name tests; the text below the tables names what no test checks.
    let names: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with('|'))
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        .filter(|name| name.contains('_') && !name.contains([' ', '*']))
        .collect();
    assert!(names.len() > 50, "the page names its tests");
    for name in names {
        let exists = sources.contains(&format!("fn {name}("));
        assert!(
            exists,
            "docs/INVARIANTS.md names the test {name}, which does not exist"
        );
    }
}
