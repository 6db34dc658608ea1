//! Exit codes and output of the `bergamotfork` program.

use std::io::Write;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

fn run(args: impl IntoIterator<Item = &'static str>) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bergamotfork"))
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .args(args)
        .output()
        .expect("the program starts")
}

fn run_with_input(args: impl IntoIterator<Item = &'static str>, input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_bergamotfork"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    stdin
        .write_all(input.as_bytes())
        .expect("the program reads");
    drop(stdin);
    child.wait_with_output().expect("the program ends")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn run_version() {
    let output = run(["--version"]);
    assert!(output.status.success());
    assert!(stdout(&output).starts_with("bergamotfork "));
}

#[test]
fn run_unknown_flag() {
    assert_eq!(run(["--no-such-flag"]).status.code(), Some(2));
}

#[test]
fn run_without_arguments() {
    let output = run([]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("Usage:"));
}

#[test]
fn help_describes_subcommands() {
    let help = stdout(&run(["--help"]));
    let commands = help
        .split("Commands:")
        .nth(1)
        .expect("the help lists commands");
    let commands = commands
        .split("Options:")
        .next()
        .expect("a list has an end");
    for line in commands
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty())
    {
        assert!(line.contains("  "), "no description: {line}");
    }
    assert!(help.contains("Exit codes:"));
}

#[test]
fn settings_check_good() {
    let output = run([
        "settings",
        "check",
        "examples/entry.ini",
        "examples/endpoint-engine.ini",
    ]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert!(stdout(&output).contains("examples/entry.ini: valid entry settings"));
}

#[test]
fn settings_check_bad() {
    let output = run([
        "settings",
        "check",
        "tests/settings/bad/entry-combinations.ini",
        "tests/settings/bad/no-role.ini",
        "examples/entry.ini",
    ]);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    let fault = "entry-combinations.ini: [entry] drain_ms = \"5000\": ";
    assert!(text.contains(fault), "{text}");
    assert!(
        text.contains("allowed: more than address_lifetime_ms = 5000"),
        "{text}"
    );
    assert!(
        text.contains("no-role.ini: [process] role: the key is missing"),
        "{text}"
    );
}

#[test]
fn settings_check_hides_secret() {
    let output = run(["settings", "check", "tests/settings/bad/entry-values.ini"]);
    let text = stderr(&output);
    assert!(text.contains("shared_key = \"(hidden)\""), "{text}");
    assert!(!text.contains("\"short\""), "{text}");
}

#[test]
fn settings_keys_endpoint() {
    let output = run(["settings", "keys", "endpoint"]);
    assert!(output.status.success());
    assert!(stdout(&output).contains("[endpoint] slots (8): "));
}

#[test]
fn token_digest_ignores_newline() {
    let output = run_with_input(["token", "digest"], "lab-token\n");
    let digest = blake3::hash(b"lab-token").to_hex();
    assert_eq!(stdout(&output).trim(), digest.as_str());
}

#[test]
fn token_digest_empty() {
    assert_eq!(
        run_with_input(["token", "digest"], "\n").status.code(),
        Some(2)
    );
}
