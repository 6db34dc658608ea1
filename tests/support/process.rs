use std::fs;
use std::fs::File;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

/// Time within which a process must stop.
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// Interval at which a process is checked for whether it has stopped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// A process of the `bergamotfork` program, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `bergamotfork` with `args`; its standard output is discarded.
    pub fn start(args: &[&str]) -> Self {
        Self::start_with_log(args, Stdio::inherit())
    }

    /// Starts `bergamotfork` with `args` and appends its log to `file`.
    pub fn start_logging_to(args: &[&str], file: File) -> Self {
        Self::start_with_log(args, file.into())
    }

    fn start_with_log(args: &[&str], log: Stdio) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_bergamotfork"))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        Self { child }
    }

    /// Id that the operating system gave the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends the signal named `signal`, such as `TERM`, `STOP` or `CONT`; panics on failure.
    ///
    /// After `STOP` it waits until every thread is stopped: one that runs on another
    /// processor goes on for some milliseconds.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args(["-s", signal, &self.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success(), "signal {signal} was not delivered");
        if signal == "STOP" {
            self.wait_until_stopped();
        }
    }

    /// Waits until every thread is stopped; panics after [`STOP_LIMIT`].
    fn wait_until_stopped(&self) {
        let deadline = Instant::now() + STOP_LIMIT;
        while !self.is_stopped() {
            assert!(Instant::now() < deadline, "the process was not stopped");
            std::thread::sleep(STOP_CHECK_INTERVAL);
        }
    }

    /// Whether every thread of the process is stopped by a signal.
    fn is_stopped(&self) -> bool {
        let threads = fs::read_dir(format!("/proc/{}/task", self.id())).expect("its threads");
        threads.flatten().all(|thread| {
            let stat = fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
            // The state follows the name, which is in parentheses and may contain some.
            stat.rsplit_once(") ")
                .is_some_and(|(_, rest)| rest.starts_with('T'))
        })
    }

    /// Exit code once the process has ended; -1 if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().expect("the child can be waited for");
        status.map(|status| status.code().unwrap_or(-1))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
