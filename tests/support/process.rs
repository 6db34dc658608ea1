use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// A process of the `bergamotfork` program, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `bergamotfork` with `args`; its standard output is discarded.
    pub fn start(args: &[&str]) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_bergamotfork"))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
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
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args(["-s", signal, &self.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success(), "signal {signal} was not delivered");
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
