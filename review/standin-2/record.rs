//! What was sent, answered and run, with the time since the start.

use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { began: Instant::now(), lines: Arc::default() }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:8.3} {text}"));
    }

    pub fn write(&self, path: &str) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        std::fs::write(path, text).expect("cannot write the record");
    }
}
