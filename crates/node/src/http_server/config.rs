//! Limits of an HTTP server.

use std::time::Duration;

use displaydoc::Display;

/// Limits of an HTTP server. Each bounds what one client, or all of them, can cost.
#[derive(Clone, Debug)]
pub struct HttpServerConfig {
    /// The server's name in logs and thread names.
    pub name: &'static str,
    /// Threads that read and write sockets. They never run handlers.
    pub io_threads: usize,
    /// Requests that are handled at once, each on a thread of its own; threads start when first needed. More requests
    /// are refused at once, because a queue behind long streams would hold them back without a word.
    pub requests_maximum: usize,
    /// Connections that are open at once, idle ones included; more get a refusal. It keeps the process below its limit
    /// of open files.
    pub connections_maximum: usize,
    /// Bytes in one request's body.
    pub body_maximum: usize,
    /// Bytes in all bodies that are being read or not yet dropped by their handlers. It bounds the server's memory.
    pub bodies_total_maximum: usize,
    /// Bytes in one request's head; at least 1,024.
    pub head_maximum: usize,
    /// Header lines in one request.
    pub headers_maximum: usize,
    /// The longest time from the first byte of a head to its last; a slow sender holds a connection no longer.
    pub head_timeout: Duration,
    /// The longest time from the end of a head to the end of its body.
    pub body_timeout: Duration,
    /// How long a connection without a request stays open.
    pub idle_timeout: Duration,
    /// The longest time that a client may be behind with reading: from the first byte that can't be written until all
    /// that was handed over has been. Then its connection is dropped, so that it holds a handler's thread no longer.
    pub write_stall_timeout: Duration,
    /// How long idle connections stay open in a drain. A request that is on its way then still gets its answer.
    pub drain_idle_grace: Duration,
    /// Chunks of one stream that wait to be written; a handler that is ahead of its client by more is held back.
    pub stream_chunks_maximum: usize,
}

impl Default for HttpServerConfig {
    fn default() -> Self {
        HttpServerConfig {
            name: "http",
            io_threads: 2,
            requests_maximum: 512,
            connections_maximum: 1_024,
            body_maximum: 4 << 20,
            bodies_total_maximum: 128 << 20,
            head_maximum: 32 << 10,
            headers_maximum: 64,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(20),
            idle_timeout: Duration::from_secs(75),
            write_stall_timeout: Duration::from_secs(30),
            drain_idle_grace: Duration::from_millis(500),
            stream_chunks_maximum: 64,
        }
    }
}

/// Ordinary clients need no less.
const HEAD_MINIMUM: usize = 1_024;

impl HttpServerConfig {
    /// Checks that the limits can be served.
    ///
    /// # Errors
    /// Names the first value that is out of range, and what is allowed.
    pub fn validate(&self) -> Result<(), HttpServerConfigError> {
        let at_least = |name, value: usize, minimum: usize| {
            let error = HttpServerConfigError { name, value, minimum };
            if value < minimum { Err(error) } else { Ok(()) }
        };
        at_least("io_threads", self.io_threads, 1)?;
        at_least("requests_maximum", self.requests_maximum, 1)?;
        at_least("connections_maximum", self.connections_maximum, 1)?;
        at_least("bodies_total_maximum", self.bodies_total_maximum, self.body_maximum)?;
        at_least("head_maximum", self.head_maximum, HEAD_MINIMUM)?;
        at_least("headers_maximum", self.headers_maximum, 1)?;
        at_least("stream_chunks_maximum", self.stream_chunks_maximum, 1)
    }
}

/// {name} is {value}; allowed: {minimum} or more
#[derive(Clone, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub struct HttpServerConfigError {
    /// The limit.
    pub name: &'static str,
    /// The value that was given.
    pub value: usize,
    /// The lowest value allowed.
    pub minimum: usize,
}
