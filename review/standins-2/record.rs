//! The record of a case: what was sent, answered and run, with times since its start.

use std::{fs::File, io::Write, sync::Mutex, time::Instant};

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
    keeps_store_calls: bool,
}

impl Record {
    pub fn create(path: &str, keeps_store_calls: bool) -> Record {
        let file = File::create(path)
            .unwrap_or_else(|e| crate::world::cannot_run(&format!("cannot write {path}: {e}")));
        Record { started_at: Instant::now(), file: Mutex::new(file), keeps_store_calls }
    }

    /// Returns the seconds since the start.
    pub fn now_s(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} s  {text}", self.now_s());
    }

    pub fn store(&self, connection: u64, text: &str) {
        if self.keeps_store_calls {
            self.line(&format!("store connection {connection}: {text}"));
        }
    }
}
