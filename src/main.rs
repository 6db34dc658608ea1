//! The `bergamotfork` program.

use std::process::ExitCode;

use bergamotfork::cli;

fn main() -> ExitCode {
    match cli::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bergamotfork: {error}");
            error.exit_code()
        }
    }
}
