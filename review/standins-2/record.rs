//! The record of a case: what was sent, answered and run, with times since its start.

use std::{fs::File, io::Write, sync::Mutex, time::Instant};

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path)
            .unwrap_or_else(|e| crate::world::cannot_run(&format!("cannot write {path}: {e}")));
        Record { started_at: Instant::now(), file: Mutex::new(file) }
    }

    /// Returns the seconds since the start.
    pub fn now_s(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} s  {text}", self.now_s());
    }
}
