//! What a run has sent, got and seen, with the time since its start.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = Mutex::new(File::create(path).expect("the record can be written"));
        Record { started_at: Instant::now(), file }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.started_at.elapsed().as_secs_f64());
        let mut file = self.file.lock().expect("no panic");
        file.write_all(line.as_bytes()).expect("the record can be written");
    }
}
