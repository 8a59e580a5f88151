//! The streams of this crate's server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use havengate_node::http_server::{
    Handler, HeaderMap, HttpServer, HttpServerConfig, Request, ResponseSender, StatusCode,
};

struct EventHandler {
    interval: Duration,
}

impl Handler for EventHandler {
    fn handle(&self, _: Request, response: ResponseSender) {
        let writer = response.stream(StatusCode::OK, HeaderMap::new());
        loop {
            thread::sleep(self.interval);
            if writer.send(super::event()).is_err() {
                return;
            }
        }
    }
}

/// Starts the server; it serves until the process ends.
pub fn start(address: SocketAddr, interval: Duration) {
    let handler = Arc::new(EventHandler { interval });
    let server = HttpServer::bind(address, HttpServerConfig::default(), handler).expect("binds");
    std::mem::forget(server);
}
