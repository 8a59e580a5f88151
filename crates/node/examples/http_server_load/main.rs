//! Measures how soon events leave an HTTP server, and what open streams cost it. ADR 0008 holds the figures.
//!
//! ```text
//! http_server_load serve LIBRARY ADDRESS INTERVAL_MS SECONDS
//! http_server_load load ADDRESS STREAMS SECONDS
//! ```
//!
//! LIBRARY is `havengate` (this crate's server), `astra` (as it comes) or `astra-split` (events split over 16 reads with
//! vectored writes, which makes hyper flush). Every stream sends an event each INTERVAL_MS; 0 means as fast as it can.
//! The server prints its processor time and memory once a second, the load the delay from event to caller.

mod load;
mod serve_astra;
mod serve_havengate;
mod usage;

use std::net::SocketAddr;
use std::str::FromStr;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use usage::Usage;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let texts: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match texts.as_slice() {
        ["serve", library, address, interval, seconds] => {
            serve(library, parse(address), Duration::from_millis(parse(interval)), parse(seconds));
        }
        ["load", address, streams, seconds] => load::run(parse(address), parse(streams), parse(seconds)),
        _ => usage_error("two commands: serve, load"),
    }
}

fn serve(library: &str, address: SocketAddr, interval: Duration, seconds: u64) {
    match library {
        "havengate" => serve_havengate::start(address, interval),
        "astra" => serve_astra::start(address, interval, 1),
        "astra-split" => serve_astra::start(address, interval, serve_astra::READS_UNTIL_FLUSH),
        _ => usage_error("unknown library"),
    }
    for _ in 0..seconds {
        let before = Usage::now();
        thread::sleep(Duration::from_secs(1));
        let now = Usage::now();
        println!("processor_ms={} resident_kib={}", (now.processor - before.processor).as_millis(), now.resident_kib);
    }
}

/// An event that tells when it was made.
fn event() -> Vec<u8> {
    format!("data: {:020}\n\n", nanoseconds()).into_bytes()
}

/// Nanoseconds since 1970: the clock that server and load share.
fn nanoseconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_nanos()).unwrap_or(u64::MAX)
}

fn parse<T: FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| usage_error(text))
}

fn usage_error(what: &str) -> ! {
    eprintln!("not understood: {what}; see the example's documentation");
    std::process::exit(2)
}
