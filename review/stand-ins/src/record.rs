//! The file that tells what was sent, answered and run.

use std::fmt::Display;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// A record that all threads of a script write to.
#[derive(Debug, Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Begins `record.txt` in this folder anew.
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("the record is created");
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    /// Time since the start of the script, in ms.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).expect("a short time")
    }

    /// Adds a line with the time.
    pub fn line(&self, text: impl Display) {
        let line = format!("{:>7} {text}\n", self.now_ms());
        let mut file = self.file.lock().expect("no writer panics");
        file.write_all(line.as_bytes())
            .expect("the record is written");
    }
}
