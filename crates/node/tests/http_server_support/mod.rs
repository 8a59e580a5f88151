//! A client that sees what is on the wire: ordinary HTTP clients hide when bytes arrive and how a body ends.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// A test that waits longer than this has failed.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A connection, and what has been read from it and not yet been taken.
pub struct RawClient {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

/// A response as it was on the wire.
#[derive(Debug)]
pub struct RawResponse {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body came to its declared end.
    pub whole: bool,
}

impl RawResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value).next()
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_else(|error| panic!("{error}: {}", self.body))
    }
}

impl RawClient {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("connects");
        stream.set_read_timeout(Some(PATIENCE)).expect("timeout");
        stream.set_write_timeout(Some(PATIENCE)).expect("timeout");
        RawClient { stream, unread: Vec::new() }
    }

    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).expect("sends");
    }

    pub fn get(&mut self, path: &str) -> RawResponse {
        self.send(format!("GET {path} HTTP/1.1\r\nhost: test\r\n\r\n"));
        self.response()
    }

    pub fn send_post(&mut self, path: &str, headers: &str, body: &str) {
        let length = body.len();
        self.send(format!("POST {path} HTTP/1.1\r\nhost: test\r\n{headers}content-length: {length}\r\n\r\n{body}"));
    }

    pub fn post(&mut self, path: &str, headers: &str, body: &str) -> RawResponse {
        self.send_post(path, headers, body);
        self.response()
    }

    /// Reads one response to its end or to the end of the connection.
    pub fn response(&mut self) -> RawResponse {
        let (status, head) = self.head();
        let mut response = RawResponse { status, head, body: String::new(), whole: false };
        if response.header("transfer-encoding") == Some("chunked") {
            while let Some(chunk) = self.chunk() {
                response.whole = chunk.is_empty();
                response.body.push_str(&chunk);
                if response.whole {
                    break;
                }
            }
        } else {
            let length = response.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
            let body = self.exactly(length);
            response.whole = body.len() == length;
            response.body = String::from_utf8_lossy(&body).into_owned();
        }
        response
    }

    /// Reads the head of a response: the status and the lines.
    pub fn head(&mut self) -> (u16, String) {
        let head = self.until(b"\r\n\r\n").expect("a response head");
        let head = String::from_utf8(head).expect("text");
        let status = head.split(' ').nth(1).and_then(|code| code.parse().ok()).expect("a status");
        (status, head)
    }

    /// Reads one chunk of a body: empty at the declared end, `None` when the connection ends before.
    pub fn chunk(&mut self) -> Option<String> {
        let size = String::from_utf8(self.until(b"\r\n")?).expect("text");
        let size = usize::from_str_radix(size.trim(), 16).expect("a chunk size");
        let chunk = self.exactly(size + 2);
        (chunk.len() == size + 2).then(|| String::from_utf8_lossy(&chunk[..size]).into_owned())
    }

    /// Whether the server has closed the connection, without further bytes.
    pub fn is_closed(&mut self) -> bool {
        self.unread.is_empty() && !self.read_more()
    }

    /// Reads up to `bytes` bytes and throws them away; `false` at the end of the connection.
    pub fn read_some(&mut self, bytes: usize) -> bool {
        self.stream.read(&mut vec![0; bytes]).is_ok_and(|count| count > 0)
    }

    pub fn hang_up(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    fn until(&mut self, end: &[u8]) -> Option<Vec<u8>> {
        loop {
            if let Some(at) = self.unread.windows(end.len()).position(|window| window == end) {
                return Some(self.unread.drain(..at + end.len()).collect());
            }
            if !self.read_more() {
                return None;
            }
        }
    }

    fn exactly(&mut self, length: usize) -> Vec<u8> {
        while self.unread.len() < length && self.read_more() {}
        let length = length.min(self.unread.len());
        self.unread.drain(..length).collect()
    }

    fn read_more(&mut self) -> bool {
        let mut buffer = [0; 4096];
        match self.stream.read(&mut buffer) {
            Ok(count) => {
                self.unread.extend_from_slice(&buffer[..count]);
                count > 0
            }
            Err(error) => {
                let waited = matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut);
                assert!(!waited, "nothing came within {PATIENCE:?}");
                false
            }
        }
    }
}
