use crate::pages::read_page;
use bergamotfork::calls::RefusalReason;
use bergamotfork::conf;
use bergamotfork::entry::ErrorCode;
use bergamotfork::hosts::HostRole;
use bergamotfork::observe::CounterKind;
use bergamotfork::observe::Event;

/// Rows of the Markdown table under `heading`, without its header.
fn table_rows<'a>(text: &'a str, heading: &str) -> Vec<&'a str> {
    let (_, after) = text
        .split_once(&format!("{heading}\n"))
        .unwrap_or_else(|| panic!("no heading {heading:?}"));
    after
        .lines()
        .take_while(|line| !line.starts_with('#'))
        .filter(|line| line.starts_with('|'))
        .skip(2)
        .collect()
}

/// Checks that `found` has exactly the rows `expected`, in any order.
fn assert_rows(table: &str, expected: &[String], found: &[&str]) {
    for row in expected {
        assert!(
            found.contains(&row.as_str()),
            "{table} lacks the row\n{row}"
        );
    }
    for row in found {
        assert!(
            expected.iter().any(|e| e == row),
            "{table} has a stale row\n{row}"
        );
    }
    assert_eq!(expected.len(), found.len(), "{table} repeats a row");
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
    let text = read_page("docs/EVENTS.md");
    assert_rows(
        "docs/EVENTS.md",
        &expected,
        &table_rows(&text, "## Catalogue"),
    );
}

#[test]
fn events_ascend() {
    let numbers: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}

#[test]
fn error_codes_page_agrees() {
    let expected: Vec<String> = ErrorCode::ALL
        .iter()
        .map(|c| {
            format!(
                "| `{}` | {} | {} |",
                c.name(),
                c.status().as_u16(),
                c.meaning()
            )
        })
        .collect();
    let text = read_page("docs/API.md");
    assert_rows(
        "docs/API.md",
        &expected,
        &table_rows(&text, "## Error codes"),
    );
}

#[test]
fn refusal_reasons_page_agrees() {
    let expected: Vec<String> = RefusalReason::ALL
        .iter()
        .map(|r| {
            let retryable = if r.retry_after_ms().is_some() {
                "yes"
            } else {
                "no"
            };
            format!("| `{}` | {retryable} | {} |", r.code(), r.meaning())
        })
        .collect();
    let text = read_page("docs/API.md");
    let heading = "## Reasons of \"not run\"";
    assert_rows("docs/API.md", &expected, &table_rows(&text, heading));
}

#[test]
fn error_codes_distinct() {
    let mut names: Vec<&str> = ErrorCode::ALL.iter().map(|code| code.name()).collect();
    names.sort_unstable();
    assert!(names.is_sorted_by(|a, b| a < b), "{names:?}");
}

#[test]
fn settings_page_agrees() {
    let text = read_page("docs/OPERATORS.md");
    let cases = [
        (HostRole::Entry, "### Keys of an entry process"),
        (HostRole::Endpoint, "### Keys of an endpoint process"),
    ];
    for (role, heading) in cases {
        let expected: Vec<String> = conf::declared_keys(role)
            .into_iter()
            .map(|key| {
                let default = key.default.unwrap_or("required".to_owned());
                format!(
                    "| [{}] | `{}` | {default} | {} |",
                    key.section, key.key, key.allowed
                )
            })
            .collect();
        assert_rows(heading, &expected, &table_rows(&text, heading));
    }
}

#[test]
fn metrics_page_agrees() {
    let text = read_page("docs/OPERATORS.md");
    let rows = table_rows(&text, "## Metrics");
    for counter in CounterKind::ALL {
        let start = format!("| `{}_total` |", counter.name());
        assert!(
            rows.iter().any(|row| row.starts_with(&start)),
            "no row for {start}"
        );
    }
    assert_eq!(rows.len(), CounterKind::ALL.len(), "stale rows: {rows:?}");
}
