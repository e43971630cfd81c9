//! What was sent, answered and run, with times since the start of the case.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn open(dir: &str) -> Self {
        let file = File::create(format!("{dir}/record.txt")).expect("record.txt");
        Self { began: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) }
    }

    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn say(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.began.elapsed().as_secs_f64());
    }

    /// A line that is shown as well.
    pub fn tell(&self, text: &str) {
        self.say(text);
        println!("{:8.3} {text}", self.began.elapsed().as_secs_f64());
        self.flush();
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
