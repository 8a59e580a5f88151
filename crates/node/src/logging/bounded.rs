//! A log that never holds up whoever logs: lines go through a bounded queue to a thread of their own, and what finds no
//! room, or exceeds the budget, is counted instead.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded};

use super::line_budget::{LineBudget, LineBudgetConfig};

/// Lines that wait to be written; some 200 bytes each.
const LINES_WAITING_MAXIMUM: usize = 1_024;

/// Lines are written together: each write costs a call to the operating system, and waking the writer costs as much.
const WRITE_PAUSE: Duration = Duration::from_millis(50);

/// The longest that the end of a process waits for its last lines.
const FLUSH_TIME_LIMIT: Duration = Duration::from_millis(200);

enum Message {
    Line(String),
    Flush(Sender<()>),
}

/// The end of a bounded log that lines are put in at.
#[derive(Clone)]
pub struct BoundedLog {
    messages: Sender<Message>,
    budget: Arc<Mutex<LineBudget>>,
    left_out: Arc<AtomicU64>,
    start: Instant,
}

impl BoundedLog {
    /// A log whose lines a thread writes to `output`.
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start(config: LineBudgetConfig, output: impl Write + Send + 'static) -> io::Result<Self> {
        let (messages, received) = bounded(LINES_WAITING_MAXIMUM);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&left_out);
        thread::Builder::new().name("log".to_owned()).spawn(move || write_all(&received, output, &counted))?;
        Ok(BoundedLog {
            messages,
            budget: Arc::new(Mutex::new(LineBudget::new(config))),
            left_out,
            start: Instant::now(),
        })
    }

    /// Logs one line, or counts it as left out. Never waits.
    pub fn log(&self, level: log::Level, line: String) {
        let now = self.start.elapsed();
        let admitted = self.budget.lock().unwrap_or_else(PoisonError::into_inner).admit(level, now);
        if !admitted || self.messages.try_send(Message::Line(line)).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits a short time until all lines so far are written.
    pub fn flush(&self) {
        let (done, wait) = bounded(1);
        if self.messages.try_send(Message::Flush(done)).is_ok() {
            // Lines that can't be written in time are lost, as are those of a process that is killed.
            let _ = wait.recv_timeout(FLUSH_TIME_LIMIT);
        }
    }
}

fn write_all(received: &Receiver<Message>, mut output: impl Write, left_out: &AtomicU64) {
    while let Ok(first) = received.recv() {
        let mut text = String::new();
        let mut flushed = Vec::new();
        take(first, &mut text, &mut flushed);
        if flushed.is_empty() {
            thread::sleep(WRITE_PAUSE);
        }
        received.try_iter().for_each(|message| take(message, &mut text, &mut flushed));
        let count = left_out.swap(0, Ordering::Relaxed);
        if count > 0 {
            text.push_str(&format!("level=warn event=log_lines_left_out count={count}\n"));
        }
        // A log that can't be written must not stop the process.
        let _ = output.write_all(text.as_bytes());
        let _ = output.flush();
        for done in flushed {
            let _ = done.send(());
        }
    }
}

fn take(message: Message, text: &mut String, flushed: &mut Vec<Sender<()>>) {
    match message {
        Message::Line(line) => {
            text.push_str(&line);
            text.push('\n');
        }
        Message::Flush(done) => flushed.push(done),
    }
}
