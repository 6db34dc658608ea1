use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Root of the project.
pub fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Text of a page.
pub fn page(name: &str) -> String {
    let path = root().join(name);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Every page of the project, with its text.
pub fn pages() -> Vec<(PathBuf, String)> {
    let mut pages = Vec::new();
    for folder in ["", "docs"] {
        for file in fs::read_dir(root().join(folder)).expect("the folder is readable") {
            let path = file.expect("the folder is readable").path();
            if path.extension().is_some_and(|end| end == "md") {
                let text = fs::read_to_string(&path).expect("the page is readable");
                pages.push((path, text));
            }
        }
    }
    pages.sort();
    pages
}
