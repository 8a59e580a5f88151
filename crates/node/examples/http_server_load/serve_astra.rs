//! The same streams by astra, whose bodies are readers.

use std::collections::VecDeque;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use astra::{Body, Response, Server};

/// hyper flushes when 16 frames are queued for a vectored write: a private constant of hyper.
pub const READS_UNTIL_FLUSH: usize = 16;

/// Makes an event each interval and gives it away in `parts` reads.
struct EventReader {
    interval: Duration,
    parts: usize,
    /// What is left of the event, a part for each read.
    rest: VecDeque<Vec<u8>>,
}

impl Read for EventReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.rest.is_empty() {
            thread::sleep(self.interval);
            self.rest = split(&super::event(), self.parts);
        }
        let Some(mut part) = self.rest.pop_front() else { return Ok(0) };
        let length = part.len().min(buffer.len());
        buffer[..length].copy_from_slice(&part[..length]);
        part.drain(..length);
        if !part.is_empty() {
            self.rest.push_front(part);
        }
        Ok(length)
    }
}

fn split(event: &[u8], parts: usize) -> VecDeque<Vec<u8>> {
    let bound = |part| event.len() * part / parts;
    (0..parts).map(|part| event[bound(part)..bound(part + 1)].to_vec()).collect()
}

/// Starts the server; it serves until the process ends.
pub fn start(address: SocketAddr, interval: Duration, parts: usize) {
    let server = Server::bind(address).max_workers(512).http1_writev(parts > 1);
    thread::spawn(move || {
        server
            .serve(move |_, _| Response::new(Body::wrap_reader(EventReader { interval, parts, rest: VecDeque::new() })))
    });
}
