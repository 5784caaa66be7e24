//! What a case sent, was answered and saw, with the time since its start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};

use bramleyseam::clock;
use bramleyseam::util::lock;

#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record(Arc::new(Mutex::new(File::create(path)?))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", clock::now().as_secs_f64(), text.as_ref());
        // A record that can't be written shows in the missing lines.
        let _ = lock(&self.0).write_all(line.as_bytes());
    }
}
