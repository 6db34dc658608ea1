use std::future::Future;
use std::io;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;

use actix_rt::System;

/// A host: what runs on it has a thread and runtime of its own, so that it can
/// be stopped as abruptly as a process.
#[derive(Debug)]
pub struct Machine<H> {
    /// What runs on it.
    pub parts: H,
    system: System,
    thread: Option<JoinHandle<()>>,
}

impl<H: Send + 'static> Machine<H> {
    /// Starts a host and what `start` starts on it.
    pub fn start<F>(start: impl FnOnce() -> F + Send + 'static) -> io::Result<Self>
    where
        F: Future<Output = io::Result<H>>,
    {
        let (told, started) = mpsc::channel();
        let thread = thread::spawn(move || run(start, &told));
        let started = started
            .recv()
            .unwrap_or_else(|_| Err(io::Error::other("the host ended while it started")));
        let (parts, system) = started?;
        Ok(Self {
            parts,
            system,
            thread: Some(thread),
        })
    }

    /// Ends every task of the host at once.
    pub fn kill(&mut self) {
        self.system.stop();
        if let Some(thread) = self.thread.take() {
            // A host whose thread panicked is stopped as well.
            let _ = thread.join();
        }
    }
}

fn run<H, F>(start: impl FnOnce() -> F, told: &mpsc::Sender<io::Result<(H, System)>>)
where
    F: Future<Output = io::Result<H>>,
{
    let runner = System::new();
    let started = runner.block_on(start());
    let failed = started.is_err();
    let sent = told.send(started.map(|parts| (parts, System::current())));
    if failed || sent.is_err() {
        return;
    }
    // The exit code says only that the host was stopped.
    let _ = runner.run();
}
