//! An error of `accept` is told, and what is open goes on. The test runs itself again with few files allowed.

mod http_server_support;

use std::fs::File;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use havengate_node::http_server::{
    Handler, HttpServer, HttpServerConfig, Request, Response, ResponseSender, StatusCode,
};
use http_server_support::{PATIENCE, RawClient};

const INNER: &str = "HAVENGATE_TEST_WITH_FEW_FILES";

struct Ok200;

impl Handler for Ok200 {
    fn handle(&self, _: Request, response: ResponseSender) {
        response.send(Response::text(StatusCode::OK, "served"));
    }
}

#[test]
fn an_accept_error_is_told_and_open_connections_are_served() {
    if std::env::var_os(INNER).is_some() {
        return with_few_files();
    }
    let test = std::env::current_exe().expect("a path");
    let limited = Command::new("sh").args(["-c", "ulimit -n 64 && exec \"$0\""]).arg(test).env(INNER, "1").output();
    let limited = limited.expect("runs");
    assert!(limited.status.success(), "{}", String::from_utf8_lossy(&limited.stdout));
}

fn with_few_files() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind(any, HttpServerConfig::default(), Arc::new(Ok200)).expect("binds");
    let mut open = RawClient::connect(server.local_address());
    assert_eq!(open.get("/").status, 200);
    let watch = server.failure_watch();
    assert_eq!((server.failure(), watch.reason()), (None, None));

    let mut files: Vec<File> = std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
    files.pop();
    let refused = RawClient::connect(server.local_address());
    let deadline = Instant::now() + PATIENCE;
    while server.failure().is_none() {
        assert!(Instant::now() < deadline, "the failure is told");
        thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(watch.reason(), server.failure());
    drop((refused, files));
    assert_eq!(open.get("/").status, 200);
    assert!(std::net::TcpStream::connect(server.local_address()).is_err(), "others can tell at once");
}
