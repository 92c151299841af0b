//! The record of a run: what was sent, answered and run, with the time of each line.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines to `record.txt`; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { file: Arc::new(Mutex::new(file)), started: Instant::now() })
    }

    /// Returns the milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.now_ms();
        let mut file = self.file.lock().expect("no writer panics");
        writeln!(file, "{:>4}.{:03} s  {}", at / 1_000, at % 1_000, text.as_ref())
            .expect("the record can be written");
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
