use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Root folder of the project.
pub fn project_root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Text of the file `name`, relative to the project root.
pub fn read_page(name: &str) -> String {
    let path = project_root().join(name);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Path and text of every Markdown file in the project root and in `docs/`, sorted by path.
pub fn read_pages() -> Vec<(PathBuf, String)> {
    let mut pages = Vec::new();
    for folder in ["", "docs"] {
        for file in fs::read_dir(project_root().join(folder)).expect("the folder is readable") {
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
