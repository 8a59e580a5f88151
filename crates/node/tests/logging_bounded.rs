//! A log within a budget that never holds up whoever logs.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use havengate_node::logging::{BoundedLog, LineBudget, LineBudgetConfig};
use log::Level;

const CONFIG: LineBudgetConfig = LineBudgetConfig { lines_per_second: 10.0, burst: 20.0, kept_for_failures: 0.5 };

#[test]
fn ordinary_lines_are_left_out_before_failures() {
    let mut budget = LineBudget::new(CONFIG);
    let admitted = (0..50).filter(|_| budget.admit(Level::Info, Duration::ZERO)).count();
    assert_eq!(admitted, 10);
    let admitted = (0..50).filter(|_| budget.admit(Level::Warn, Duration::ZERO)).count();
    assert_eq!(admitted, 10);
    assert!(!budget.admit(Level::Error, Duration::ZERO));
}

#[test]
fn lines_over_any_time_stay_within_rate_and_burst() {
    let mut budget = LineBudget::new(CONFIG);
    let milliseconds = 0..10_000_u64;
    let admitted = milliseconds.filter(|now| budget.admit(Level::Warn, Duration::from_millis(*now))).count();
    assert!((110..=120).contains(&admitted), "{admitted} lines in 10 s");
}

#[test]
fn a_time_that_goes_back_gives_nothing() {
    let mut budget = LineBudget::new(CONFIG);
    while budget.admit(Level::Warn, Duration::from_secs(100)) {}
    assert!(!budget.admit(Level::Warn, Duration::from_secs(50)));
    assert!(!budget.admit(Level::Warn, Duration::from_secs(100)));
}

/// An output that blocks until it is let go on.
struct Blocked {
    entered: Sender<()>,
    let_go: Receiver<()>,
    written: Arc<Mutex<String>>,
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.entered.try_send(());
        let _ = self.let_go.recv();
        self.written.lock().unwrap().push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_output_holds_nobody_up_and_what_is_left_out_is_counted() {
    const LINES: usize = 5_000;
    let (entered, has_entered) = bounded(1);
    let (let_go, wait) = bounded::<()>(0);
    let written = Arc::new(Mutex::new(String::new()));
    let output = Blocked { entered, let_go: wait, written: Arc::clone(&written) };
    let generous = LineBudgetConfig { lines_per_second: 1e9, burst: 1e9, kept_for_failures: 0.0 };
    let log = BoundedLog::start(generous, output).expect("the thread starts");
    log.log(Level::Info, "first".to_owned());
    has_entered.recv().expect("the writer is at work");
    // Were a line to wait for the output, this loop would not end: nobody lets the output go on before it has.
    (0..LINES).for_each(|number| log.log(Level::Info, format!("line={number}")));
    drop(let_go);
    while !written.lock().unwrap().contains("log_lines_left_out") {
        log.flush();
    }
    let text = written.lock().unwrap().clone();
    let kept = text.lines().filter(|line| line.starts_with("line=")).count();
    let count = text.lines().find_map(|line| line.strip_prefix("level=warn event=log_lines_left_out count="));
    let left_out: usize = count.expect("a count").parse().expect("a number");
    assert_eq!(kept + left_out, LINES);
}
