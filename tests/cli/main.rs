//! The command line as a user meets it.

use std::process::Command;

fn run(args: impl IntoIterator<Item = &'static str>) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_bergamotfork"))
        .args(args)
        .output()
        .expect("the program starts")
}

#[test]
fn run_version() {
    let output = run(["--version"]);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).starts_with("bergamotfork "));
}

#[test]
fn run_unknown_flag() {
    assert_eq!(run(["--no-such-flag"]).status.code(), Some(2));
}
