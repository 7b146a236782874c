//! The record of what was sent, answered and run.

use std::sync::Mutex;
use std::time::Instant;

/// Lines with the time since the start of the script.
pub(crate) struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Returns the seconds since the start of the script.
    pub(crate) fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub(crate) fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.now(), text.as_ref());
        self.lines.lock().expect("not poisoned").push(line);
    }

    /// Returns the times of the lines that end with `text`.
    pub(crate) fn times_of(&self, text: &str) -> Vec<f64> {
        let lines = self.lines.lock().expect("not poisoned");
        let found = lines.iter().filter(|line| line.ends_with(text));
        found
            .filter_map(|line| line.split_whitespace().next()?.parse().ok())
            .collect()
    }

    pub(crate) fn text(&self) -> String {
        let mut text = self.lines.lock().expect("not poisoned").join("\n");
        text.push('\n');
        text
    }
}
