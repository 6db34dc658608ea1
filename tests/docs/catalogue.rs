use std::fs;
use std::path::Path;

use bergamotfork::observe::Event;

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("docs")
        .join(name);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Table rows of a page whose first cell is a number.
fn numbered_rows(page: &str) -> Vec<&str> {
    page.lines()
        .filter(|line| {
            line.starts_with("| ") && line[2..].starts_with(|c: char| c.is_ascii_digit())
        })
        .collect()
}

fn assert_rows(page: &str, expected: &[String], found: &[&str]) {
    for row in expected {
        assert!(
            found.contains(&row.as_str()),
            "docs/{page} lacks the row {row}"
        );
    }
    for row in found {
        assert!(
            expected.iter().any(|e| e == row),
            "docs/{page} has a stale row {row}"
        );
    }
    assert_eq!(expected.len(), found.len(), "docs/{page} repeats a row");
}

#[test]
fn events_page_agrees() {
    let expected: Vec<String> = Event::ALL
        .iter()
        .map(|e| {
            format!(
                "| {} | {} | {} | {} |",
                e.number(),
                e.name(),
                e.level(),
                e.meaning()
            )
        })
        .collect();
    let text = page("EVENTS.md");
    assert_rows("EVENTS.md", &expected, &numbered_rows(&text));
}

#[test]
fn events_ascend() {
    let numbers: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}
