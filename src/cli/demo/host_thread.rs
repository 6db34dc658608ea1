use std::future::Future;
use std::io;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;

use actix_rt::System;

/// A simulated host: a thread with its own runtime, which can be stopped as abruptly
/// as a process.
#[derive(Debug)]
pub struct HostThread<H> {
    /// Handles of the servers that run on the thread.
    pub handles: H,
    system: System,
    thread: Option<JoinHandle<()>>,
}

impl<H: Send + 'static> HostThread<H> {
    /// Starts the thread and runs `start` on it.
    ///
    /// # Errors
    ///
    /// The error of `start`, or an error when the thread ended before it had started.
    pub fn start<F>(start: impl FnOnce() -> F + Send + 'static) -> io::Result<Self>
    where
        F: Future<Output = io::Result<H>>,
    {
        let (result_sender, started) = mpsc::channel();
        let thread = thread::spawn(move || run(start, &result_sender));
        let started = started
            .recv()
            .unwrap_or_else(|_| Err(io::Error::other("the host's thread ended during its start")));
        let (handles, system) = started?;
        Ok(Self {
            handles,
            system,
            thread: Some(thread),
        })
    }

    /// Stops the runtime with all its tasks and waits for the thread to end.
    pub fn kill(&mut self) {
        self.system.stop();
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has stopped as well.
            let _ = thread.join();
        }
    }
}

/// Runs `start`, sends its result to the starting thread, and keeps the runtime running.
fn run<H, F>(start: impl FnOnce() -> F, result_sender: &mpsc::Sender<io::Result<(H, System)>>)
where
    F: Future<Output = io::Result<H>>,
{
    let runtime = System::new();
    let started = runtime.block_on(start());
    let failed = started.is_err();
    let sent = result_sender.send(started.map(|handles| (handles, System::current())));
    if failed || sent.is_err() {
        return;
    }
    // The exit code only reports that the runtime was stopped.
    let _ = runtime.run();
}
