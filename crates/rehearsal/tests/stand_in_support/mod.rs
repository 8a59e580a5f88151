//! What the tests of the stand-in servers share.

use std::thread;
use std::time::Duration;

/// Waits until `condition` holds; fails the test when it never does.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if condition() {
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
    panic!("never came: {what}");
}
