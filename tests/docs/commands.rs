use std::process::Command;
use std::process::Output;

use crate::pages::project_root;
use crate::pages::read_page;
use crate::pages::read_pages;

const CARGO_PREFIX: &str = "cargo run --release -- ";
const PROGRAM_PREFIX: &str = "bergamotfork ";

/// Lines of the `sh` code blocks of a page.
fn shell_lines(text: &str) -> Vec<&str> {
    let mut lines = Vec::new();
    let mut in_block = false;
    for line in text.lines() {
        if line.starts_with("```") {
            in_block = line == "```sh";
        } else if in_block {
            lines.push(line.trim());
        }
    }
    lines
}

/// Arguments of a line that runs the program, alone or at the end of a pipe.
fn program_args(line: &str) -> Option<Vec<&str>> {
    let command = line.rsplit(" | ").next()?.trim_end_matches(')');
    let args = command
        .strip_prefix(CARGO_PREFIX)
        .or_else(|| command.strip_prefix(PROGRAM_PREFIX))?;
    Some(args.split_whitespace().collect())
}

fn run_program(args: impl IntoIterator<Item = impl AsRef<std::ffi::OsStr>>) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bergamotfork"))
        .args(args)
        .output()
        .expect("the program starts")
}

/// Checks the subcommands and flags of a line against the program's help texts.
fn assert_accepted(page: &str, line: &str, args: &[&str]) {
    let mut path: Vec<&str> = Vec::new();
    let mut help = help_text(&path);
    let mut args = args.iter();
    while let Some(arg) = args.next() {
        let row = format!("  {arg} ");
        let listed = help
            .split("Commands:")
            .nth(1)
            .is_some_and(|list| list.lines().any(|l| format!("{l} ").starts_with(&row)));
        if listed {
            path.push(arg);
            help = help_text(&path);
        } else if arg.starts_with("--") {
            assert!(help.contains(arg), "{page}: {line}: unknown flag {arg}");
            if help.contains(&format!("{arg} <")) {
                // Skip the value of the flag.
                args.next();
            }
        } else {
            let takes_more = !help.contains("<COMMAND>");
            assert!(takes_more, "{page}: {line}: unknown subcommand {arg}");
        }
    }
}

/// Help text of the subcommand at `path`.
fn help_text(path: &[&str]) -> String {
    let output = run_program(path.iter().copied().chain(["--help"]));
    assert!(output.status.success(), "no help of {path:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn program_commands_exist() {
    for (path, text) in read_pages() {
        for line in shell_lines(&text) {
            if let Some(args) = program_args(line) {
                assert_accepted(&path.display().to_string(), line, &args);
            }
        }
    }
}

#[test]
fn scripts_exist() {
    for (path, text) in read_pages() {
        for line in shell_lines(&text) {
            let Some(first) = line.split_whitespace().next() else {
                continue;
            };
            if first.starts_with("scripts/") || first.starts_with(".ci/") {
                let script = project_root().join(first);
                assert!(script.exists(), "{}: {line}", path.display());
            }
        }
    }
}

#[test]
fn readme_test_command_is_ci() {
    let command = "cargo test --locked --workspace";
    let readme = read_page("README.md");
    assert!(
        shell_lines(&readme).contains(&command),
        "README.md lacks {command}"
    );
    let ci = read_page(".ci/run");
    assert!(
        ci.lines().any(|line| line.starts_with(command)),
        ".ci/run lacks {command}"
    );
}
