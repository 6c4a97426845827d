//! The record of a run: what was sent, answered and run, with the time in seconds.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("cannot write the record");
        Record { started: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:8.3} {text}", self.now());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.now());
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
