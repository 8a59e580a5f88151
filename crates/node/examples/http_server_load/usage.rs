//! What this process has used so far.

use std::time::Duration;

/// The kernel counts processor time in hundredths of a second on all common machines.
const TICK: Duration = Duration::from_millis(10);
/// Bytes in a page of memory, as far as `/proc/self/statm` counts.
const PAGE_KIB: u64 = 4;
/// Fields of `/proc/self/stat` after the command's name: user and system time.
const USER_TIME_FIELD: usize = 11;

/// Processor time and memory of this process.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// User and system time of all threads.
    pub processor: Duration,
    /// Memory that is resident.
    pub resident_kib: u64,
}

impl Usage {
    /// The usage until now, as the kernel tells it; zero where it doesn't.
    pub fn now() -> Self {
        let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        let ticks: u32 = fields.skip(USER_TIME_FIELD).take(2).filter_map(|field| field.parse::<u32>().ok()).sum();
        let memory = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
        let pages: u64 = memory.split(' ').nth(1).and_then(|field| field.parse().ok()).unwrap_or_default();
        Usage { processor: TICK * ticks, resident_kib: pages * PAGE_KIB }
    }
}
