use std::path::Path;

use crate::pages::read_pages;

/// Targets of the links `[text](target)` of a page.
fn link_targets(text: &str) -> Vec<&str> {
    text.split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next())
        .collect()
}

/// Anchors of the headings of a page.
fn heading_anchors(text: &str) -> Vec<String> {
    text.lines()
        .filter(|line| line.starts_with('#'))
        .map(|line| heading_anchor(line.trim_start_matches('#').trim()))
        .collect()
}

/// Anchor that a Markdown renderer gives a heading.
fn heading_anchor(heading: &str) -> String {
    heading
        .to_lowercase()
        .chars()
        .filter(|c| c.is_alphanumeric() || matches!(c, ' ' | '-' | '_'))
        .map(|c| if c == ' ' { '-' } else { c })
        .collect()
}

/// Checks that the file of a link and the heading of its fragment exist.
fn assert_resolves(page: &Path, text: &str, target: &str) {
    let (file, fragment) = target.split_once('#').unwrap_or((target, ""));
    let source = page.display();
    let path = match file {
        "" => page.to_path_buf(),
        _ => page
            .parent()
            .expect("a page has a parent folder")
            .join(file),
    };
    assert!(path.exists(), "{source}: {target} does not exist");
    if fragment.is_empty() {
        return;
    }
    let linked = match file {
        "" => text.to_owned(),
        _ => std::fs::read_to_string(&path).expect("the linked page is readable"),
    };
    assert!(
        heading_anchors(&linked).iter().any(|a| a == fragment),
        "{source}: {target} does not match a heading"
    );
}

#[test]
fn links_resolve() {
    for (path, text) in read_pages() {
        for target in link_targets(&text) {
            assert!(
                !target.contains("://"),
                "{}: external link {target}",
                path.display()
            );
            assert_resolves(&path, &text, target);
        }
    }
}
