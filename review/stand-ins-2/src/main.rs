//! Stand-ins and checks of the cases 6 and later. Each case starts the project's own programs as
//! separate processes, writes record.txt into its folder, and exits with 1 if the rule was
//! broken, 0 if it held and 2 if it could not run.

mod crash;
mod crowd;
mod http;
mod process;
mod reborn;
mod replica;
mod spot;
mod store;
mod stray;

use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// Longest time of a run.
const MAX_RUN_TIME: Duration = Duration::from_secs(110);

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    thread::spawn(|| {
        thread::sleep(MAX_RUN_TIME);
        eprintln!("the run took too long");
        process::kill_all();
        std::process::exit(2);
    });
    let verdict = match words.as_slice() {
        [_, "replica", address, id, events, born] => replica::run(address, id, events, born),
        [_, "spot", folder] => spot::run(Path::new(folder), has_trouble),
        [_, "crowd", folder] => crowd::run(Path::new(folder), has_trouble),
        [_, "crash", folder] => crash::run(Path::new(folder), has_trouble),
        [_, "reborn", folder] => reborn::run(Path::new(folder), has_trouble),
        [_, "stray", folder] => stray::run(Path::new(folder), has_trouble),
        _ => {
            eprintln!(
                "usage: review-2 replica ADDRESS ID EVENTS BORN, or review-2 crash|spot|crowd|stray|reborn FOLDER"
            );
            Ok(Verdict::NotRun)
        }
    };
    match verdict {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotRun) => ExitCode::from(2),
        Err(error) => {
            eprintln!("the case cannot run: {error}");
            ExitCode::from(2)
        }
    }
}
