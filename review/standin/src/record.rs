//! What was sent, answered and run, one line each with its time.

use std::cell::RefCell;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::time::Duration;

use bramleyseam::clock;

/// The record of one scenario.
pub struct Record {
    file: RefCell<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        let file = File::create(path)?;
        Ok(Record {
            file: RefCell::new(file),
        })
    }

    /// Adds a line with the present time.
    pub fn line(&self, text: &str) {
        self.line_at(clock::now(), text);
    }

    /// Adds a line on something that happened at another time.
    pub fn line_at(&self, at: Duration, text: &str) {
        // A record that can't be written does not change the verdict.
        let _ = writeln!(self.file.borrow_mut(), "{:9.3} s  {text}", at.as_secs_f64());
        println!("{:9.3} s  {text}", at.as_secs_f64());
    }
}
