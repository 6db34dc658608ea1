use std::path::Path;

use crate::pages::pages;

/// Targets of the links `[text](target)` of a page.
fn targets(text: &str) -> Vec<&str> {
    text.split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next())
        .collect()
}

/// Anchors of a page's headings.
fn anchors(text: &str) -> Vec<String> {
    text.lines()
        .filter(|line| line.starts_with('#'))
        .map(|line| anchor(line.trim_start_matches('#').trim()))
        .collect()
}

fn anchor(heading: &str) -> String {
    heading
        .to_lowercase()
        .chars()
        .filter(|c| c.is_alphanumeric() || matches!(c, ' ' | '-' | '_'))
        .map(|c| if c == ' ' { '-' } else { c })
        .collect()
}

fn assert_resolves(page: &Path, text: &str, target: &str) {
    let (file, fragment) = target.split_once('#').unwrap_or((target, ""));
    let place = page.display();
    let path = match file {
        "" => page.to_path_buf(),
        _ => page.parent().expect("a page stands in a folder").join(file),
    };
    assert!(path.exists(), "{place}: {target} does not exist");
    if fragment.is_empty() {
        return;
    }
    let linked = match file {
        "" => text.to_owned(),
        _ => std::fs::read_to_string(&path).expect("a page is readable"),
    };
    assert!(
        anchors(&linked).iter().any(|a| a == fragment),
        "{place}: {target} names no heading"
    );
}

#[test]
fn links_resolve() {
    for (path, text) in pages() {
        for target in targets(&text) {
            assert!(
                !target.contains("://"),
                "{}: outside link {target}",
                path.display()
            );
            assert_resolves(&path, &text, target);
        }
    }
}
