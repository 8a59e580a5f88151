//! Clients that read streams and measure how old events are on arrival.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// What one client saw.
#[derive(Default)]
struct Seen {
    /// The first event's age on arrival, in nanoseconds; none when no event came.
    first: Option<u64>,
    /// The ages of all events.
    ages: Vec<u64>,
}

/// Reads `streams` streams for `seconds` and prints what was seen.
pub fn run(address: SocketAddr, streams: usize, seconds: u64) {
    let time = Duration::from_secs(seconds);
    let clients: Vec<_> = (0..streams).map(|_| thread::spawn(move || read_stream(address, time))).collect();
    let seen: Vec<Seen> = clients.into_iter().map(|client| client.join().unwrap_or_default()).collect();
    let mut first: Vec<u64> = seen.iter().filter_map(|seen| seen.first).collect();
    let mut ages: Vec<u64> = seen.into_iter().flat_map(|seen| seen.ages).collect();
    println!(
        "streams={streams} with_events={} events={} a_second={}",
        first.len(),
        ages.len(),
        ages.len() as u64 / seconds
    );
    print_percentiles("first_event", &mut first);
    print_percentiles("all_events", &mut ages);
}

fn read_stream(address: SocketAddr, time: Duration) -> Seen {
    let mut seen = Seen::default();
    let mut stream = TcpStream::connect(address).expect("connects");
    stream.set_read_timeout(Some(time)).expect("timeout");
    stream.write_all(b"GET / HTTP/1.1\r\nhost: load\r\n\r\n").expect("sends");
    let end = Instant::now() + time;
    let mut reader = BufReader::new(stream);
    let mut text = String::new();
    skip_head(&mut reader);
    while Instant::now() < end {
        let Some(chunk) = read_chunk(&mut reader) else { break };
        text.push_str(&chunk);
        while let Some((event, rest)) = text.split_once("\n\n") {
            let made: u64 = event.trim_start_matches("data: ").parse().expect("an event");
            let age = super::nanoseconds().saturating_sub(made);
            seen.first.get_or_insert(age);
            seen.ages.push(age);
            text = rest.to_owned();
        }
    }
    seen
}

fn skip_head(reader: &mut impl BufRead) {
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|length| length > 2) {
        line.clear();
    }
}

/// One chunk of a chunked body; none at its end or after silence.
fn read_chunk(reader: &mut impl BufRead) -> Option<String> {
    let mut size = String::new();
    reader.read_line(&mut size).ok()?;
    let size = usize::from_str_radix(size.trim(), 16).ok().filter(|&size| size > 0)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(size);
    String::from_utf8(chunk).ok()
}

fn print_percentiles(name: &str, values: &mut [u64]) {
    values.sort_unstable();
    let at = |share: f64| values.get(((values.len() as f64 * share) as usize).min(values.len().saturating_sub(1)));
    let micros = |share| at(share).map_or(0, |nanoseconds| nanoseconds / 1_000);
    println!("{name}_age_us p50={} p95={} p99={} max={}", micros(0.5), micros(0.95), micros(0.99), micros(1.0));
}
