//! The HTTP server: streaming, cuts, hang-ups, limits and draining.

mod http_server_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use havengate_node::http_server::{
    Handler, HangUp, HeaderMap, HttpServer, HttpServerConfig, HttpServerHandle, Request, Response, ResponseSender,
    ServerRefusal, StatusCode,
};
use http_server_support::{PATIENCE, RawClient};

/// A step of a streamed response, given by the test.
enum Step {
    Send(String),
    Finish,
    Abort,
}

/// Echoes `/echo`, panics at `/panic`, and lets the test drive `/stream` and `/wait`.
struct TestHandler {
    steps: Receiver<Step>,
    hang_ups: Sender<HangUp>,
    /// When set, a refusal holds up the I/O thread that it is made on until something is sent.
    release_refusal: Option<Receiver<()>>,
}

impl Handler for TestHandler {
    fn handle(&self, request: Request, response: ResponseSender) {
        match request.path() {
            "/echo" => response.send(Response::typed(StatusCode::OK, "text/plain", request.body)),
            "/panic" => panic!("as the test wants"),
            "/wait" => {
                let hang_up = response.hang_up().clone();
                self.hang_ups.send(hang_up.clone()).expect("test is there");
                let _ = hang_up.over().recv_timeout(PATIENCE);
            }
            "/stream" => {
                self.hang_ups.send(response.hang_up().clone()).expect("test is there");
                let writer = response.stream(StatusCode::OK, HeaderMap::new());
                for step in &self.steps {
                    match step {
                        Step::Send(text) => {
                            if writer.send(text.into_bytes()).is_err() {
                                return;
                            }
                        }
                        Step::Finish => return writer.finish().expect("client is there"),
                        Step::Abort => return writer.abort(),
                    }
                }
            }
            _ => response.send(Response::text(StatusCode::NOT_FOUND, "")),
        }
    }

    fn refuse(&self, refusal: ServerRefusal) -> Response {
        if let Some(release) = &self.release_refusal {
            release.recv_timeout(PATIENCE).expect("released");
        }
        refusal.plain_response()
    }
}

struct Fixture {
    server: Arc<HttpServerHandle>,
    steps: Sender<Step>,
    hang_ups: Receiver<HangUp>,
}

impl Fixture {
    fn new(config: HttpServerConfig) -> Self {
        Fixture::with_refusals(config, None)
    }

    fn with_refusals(config: HttpServerConfig, release_refusal: Option<Receiver<()>>) -> Self {
        let (steps, for_handler) = bounded(0);
        let (hang_ups, seen) = unbounded();
        let handler = Arc::new(TestHandler { steps: for_handler, hang_ups, release_refusal });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Arc::new(HttpServer::bind(any, config, handler).expect("binds"));
        Fixture { server, steps, hang_ups: seen }
    }

    fn client(&self) -> RawClient {
        RawClient::connect(self.server.local_address())
    }

    fn step(&self, step: Step) {
        self.steps.send_timeout(step, PATIENCE).expect("the handler takes the step");
    }

    fn send(&self, text: &str) {
        self.step(Step::Send(text.to_owned()));
    }

    fn hang_up(&self) -> HangUp {
        self.hang_ups.recv_timeout(PATIENCE).expect("a request was handled")
    }

    /// A client that has read the head of a stream.
    fn open_stream(&self) -> RawClient {
        let mut client = self.client();
        client.send("GET /stream HTTP/1.1\r\nhost: test\r\n\r\n");
        assert_eq!(client.head().0, 200);
        client
    }

    fn assert_serves(&self) {
        let response = self.client().post("/echo", "", "still here");
        assert_eq!((response.status, response.body.as_str()), (200, "still here"));
    }
}

fn short() -> HttpServerConfig {
    HttpServerConfig {
        head_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_millis(600),
        drain_idle_grace: Duration::from_millis(50),
        body_maximum: 100_000,
        ..HttpServerConfig::default()
    }
}

/// Whether `check` holds within the test's patience.
fn eventually(mut check: impl FnMut() -> bool) -> bool {
    let pause = Duration::from_millis(20);
    let tries = PATIENCE.as_millis() / pause.as_millis();
    (0..tries).any(|_| {
        thread::sleep(pause);
        check()
    })
}

fn assert_over_by_hang_up(hang_up: &HangUp) {
    assert!(hang_up.over().recv_timeout(PATIENCE).is_err_and(|error| error.is_disconnected()), "over in time");
    assert!(hang_up.is_set());
}

#[test]
fn each_chunk_arrives_before_the_next_is_produced() {
    let fixture = Fixture::new(HttpServerConfig::default());
    let mut client = fixture.open_stream();
    for index in 0..20 {
        let text = format!("event {index}");
        fixture.send(&text);
        assert_eq!(client.chunk().as_deref(), Some(text.as_str()));
    }
    fixture.step(Step::Finish);
    assert_eq!(client.chunk().as_deref(), Some(""));
}

#[test]
fn an_aborted_stream_delivers_what_was_sent_and_stays_unterminated() {
    let fixture = Fixture::new(HttpServerConfig::default());
    let mut client = fixture.open_stream();
    let more_than_sockets_hold = 32;
    let megabyte = "x".repeat(1 << 20);
    (0..more_than_sockets_hold).for_each(|_| fixture.send(&megabyte));
    let last_words = ["last", "words", "of", "a", "stream"];
    last_words.iter().for_each(|word| fixture.send(word));
    fixture.step(Step::Abort);
    for _ in 0..more_than_sockets_hold {
        assert_eq!(client.chunk().map(|chunk| chunk.len()), Some(megabyte.len()));
    }
    for word in last_words {
        assert_eq!(client.chunk().as_deref(), Some(word));
    }
    assert!(client.is_closed(), "no terminating chunk");
}

#[test]
fn a_hang_up_is_seen_before_and_during_the_response() {
    let fixture = Fixture::new(HttpServerConfig::default());
    let mut waiting = fixture.client();
    waiting.send("GET /wait HTTP/1.1\r\nhost: test\r\n\r\n");
    let hang_up = fixture.hang_up();
    assert!(!hang_up.is_set());
    waiting.hang_up();
    assert_over_by_hang_up(&hang_up);

    let mut streaming = fixture.open_stream();
    fixture.send("one");
    assert_eq!(streaming.chunk().as_deref(), Some("one"));
    let hang_up = fixture.hang_up();
    streaming.hang_up();
    assert_over_by_hang_up(&hang_up);
    fixture.assert_serves();
}

#[test]
fn a_finished_exchange_is_no_hang_up() {
    let fixture = Fixture::new(HttpServerConfig::default());
    let mut client = fixture.open_stream();
    let hang_up = fixture.hang_up();
    fixture.step(Step::Finish);
    assert_eq!(client.chunk().as_deref(), Some(""));
    assert!(hang_up.over().recv_timeout(PATIENCE).is_err_and(|error| error.is_disconnected()));
    assert!(!hang_up.is_set());
}

#[test]
fn a_drain_writes_the_last_byte_of_open_streams() {
    let fixture = Fixture::new(short());
    let mut streaming = fixture.open_stream();
    let mut idle = fixture.client();
    assert_eq!(idle.get("/echo").status, 200);
    fixture.server.stop_accepting();
    let server = Arc::clone(&fixture.server);
    let drain = thread::spawn(move || server.drain(PATIENCE));
    assert!(idle.is_closed());
    let last = "y".repeat(2_000_000);
    fixture.send(&last);
    assert!(!drain.is_finished());
    fixture.step(Step::Finish);
    assert_eq!(streaming.chunk().map(|chunk| chunk.len()), Some(last.len()));
    assert_eq!(streaming.chunk().as_deref(), Some(""));
    assert_eq!(drain.join().expect("no panic"), Ok(()));
    assert!(std::net::TcpStream::connect(fixture.server.local_address()).is_err());
}

#[test]
fn a_drain_that_takes_too_long_says_how_many_connections_are_open() {
    let fixture = Fixture::new(short());
    let mut streaming = fixture.open_stream();
    let error = fixture.server.drain(Duration::from_millis(200)).expect_err("a stream is open");
    assert_eq!(error.open, 1);
    fixture.step(Step::Finish);
    assert_eq!(streaming.chunk().as_deref(), Some(""));
    assert_eq!(fixture.server.drain(PATIENCE), Ok(()));
}

#[test]
fn a_request_that_arrives_while_closing_is_answered_and_told_to_close() {
    let fixture = Fixture::new(HttpServerConfig { drain_idle_grace: PATIENCE, ..short() });
    let mut client = fixture.client();
    assert_eq!(client.get("/echo").header("connection"), None);
    fixture.server.stop_accepting();
    let response = client.get("/echo");
    assert_eq!((response.status, response.header("connection")), (200, Some("close")));
    assert!(client.is_closed());
}

#[test]
fn a_connection_that_waits_to_be_accepted_is_served() {
    let (release, released) = bounded(0);
    let fixture = Fixture::with_refusals(HttpServerConfig { io_threads: 1, ..short() }, Some(released));
    let mut blocking_io = fixture.client();
    blocking_io.send("GET /echo HTTP/1.0\r\n\r\n");
    thread::sleep(Duration::from_millis(50));
    let mut waiting = fixture.client();
    let server = Arc::clone(&fixture.server);
    let stop = thread::spawn(move || server.stop_accepting());
    thread::sleep(Duration::from_millis(50));
    release.send_timeout((), PATIENCE).expect("the I/O thread is held up");
    stop.join().expect("no panic");
    assert_eq!(waiting.get("/echo").status, 200);
}

#[test]
fn closing_the_server_sets_hang_ups() {
    let fixture = Fixture::new(HttpServerConfig::default());
    let _streaming = fixture.open_stream();
    let hang_up = fixture.hang_up();
    fixture.server.close();
    assert_over_by_hang_up(&hang_up);
}

#[test]
fn slow_senders_are_told_and_cut_off() {
    let fixture = Fixture::new(short());
    let mut slow_head = fixture.client();
    slow_head.send("GET /echo HTTP/1.1\r\nhost:");
    let mut slow_body = fixture.client();
    slow_body.send("POST /echo HTTP/1.1\r\nhost: test\r\ncontent-length: 100\r\n\r\nten bytes.");
    let mut idle = fixture.client();
    fixture.assert_serves();
    for client in [&mut slow_head, &mut slow_body] {
        assert_eq!(client.response().status, 408);
        assert!(client.is_closed());
    }
    assert!(idle.is_closed());
    fixture.assert_serves();
}

#[test]
fn oversized_requests_are_refused() {
    let fixture = Fixture::new(short());
    let ten_megabytes = "z".repeat(10_000_000);
    assert_eq!(fixture.client().post("/echo", "", &ten_megabytes).status, 413);
    let mut chunked = fixture.client();
    chunked.send("POST /echo HTTP/1.1\r\nhost: test\r\ntransfer-encoding: chunked\r\n\r\n989680\r\n");
    chunked.send(&ten_megabytes);
    assert_eq!(chunked.response().status, 413);
    let many_headers: String = (0..1_000).map(|index| format!("x-{index}: flood\r\n")).collect();
    assert_eq!(fixture.client().post("/echo", &many_headers, "").status, 431);
    let long_header = format!("x-long: {}\r\n", "h".repeat(100_000));
    assert_eq!(fixture.client().post("/echo", &long_header, "").status, 431);
    fixture.assert_serves();
}

#[test]
fn malformed_requests_are_refused() {
    let fixture = Fixture::new(short());
    let malformed = [
        "nonsense\r\n\r\n",
        "GET /echo HTTP/1.1\r\nbad header\r\n\r\n",
        "POST /echo HTTP/1.1\r\nhost: test\r\ntransfer-encoding: chunked\r\n\r\nnot a size\r\n",
        "POST /echo HTTP/1.1\r\nhost: test\r\ncontent-length: -5\r\n\r\n",
    ];
    for request in malformed {
        let mut client = fixture.client();
        client.send(request);
        assert_eq!(client.response().status, 400, "{request}");
    }
    let mut old = fixture.client();
    old.send("GET /stream HTTP/1.0\r\n\r\n");
    assert_eq!(old.response().status, 505);
    fixture.assert_serves();
}

#[test]
fn requests_beyond_the_maximum_are_refused_at_once() {
    let fixture = Fixture::new(HttpServerConfig { requests_maximum: 2, ..short() });
    let _streams = [fixture.open_stream(), fixture.open_stream()];
    assert_eq!(fixture.client().get("/echo").status, 503);
    fixture.step(Step::Finish);
    assert!(eventually(|| fixture.client().get("/echo").status == 200), "the place of the finished request is free");
}

#[test]
fn connections_beyond_the_maximum_are_refused_at_once() {
    let fixture = Fixture::new(HttpServerConfig { connections_maximum: 2, ..HttpServerConfig::default() });
    let mut open = [fixture.client(), fixture.client()];
    open.iter_mut().for_each(|client| assert_eq!(client.get("/echo").status, 200));
    assert_eq!(fixture.client().response().status, 503);
    assert_eq!(open[0].get("/echo").status, 200);
}

#[test]
fn bodies_together_are_bounded() {
    let fixture = Fixture::new(HttpServerConfig { bodies_total_maximum: 100_000, ..short() });
    let mut holder = fixture.client();
    holder.send_post("/wait", "", &"b".repeat(90_000));
    fixture.hang_up();
    let large = "c".repeat(50_000);
    assert_eq!(fixture.client().post("/echo", "", &large).status, 503);
    assert_eq!(fixture.client().post("/echo", "", "small").status, 200);
    holder.hang_up();
    assert!(eventually(|| fixture.client().post("/echo", "", &large).status == 200));
}

#[test]
fn a_panicking_handler_costs_only_its_own_request() {
    let fixture = Fixture::new(HttpServerConfig { requests_maximum: 1, ..HttpServerConfig::default() });
    assert_eq!(fixture.client().get("/panic").status, 500);
    assert!(eventually(|| fixture.client().get("/echo").status == 200));
}

#[test]
fn a_client_that_reads_now_and_then_is_dropped() {
    let config = HttpServerConfig {
        write_stall_timeout: Duration::from_secs(1),
        stream_chunks_maximum: 1,
        ..HttpServerConfig::default()
    };
    let fixture = Fixture::new(config);
    let mut slow = fixture.open_stream();
    let hang_up = fixture.hang_up();
    let watched = hang_up.clone();
    let reading = thread::spawn(move || {
        while !watched.is_set() && slow.read_some(100_000) {
            thread::sleep(Duration::from_millis(20));
        }
    });
    let some_seconds_of_reading = 16 << 20;
    send_until_over(&fixture, &hang_up, some_seconds_of_reading);
    assert!(hang_up.is_set());
    reading.join().expect("no panic");
}

#[test]
fn a_body_is_asked_for_only_when_it_is_wanted() {
    let fixture = Fixture::new(short());
    let mut client = fixture.client();
    let head = "POST /echo HTTP/1.1\r\nhost: test\r\nexpect: 100-continue\r\n";
    client.send(format!("{head}content-length: 5\r\n\r\n"));
    assert_eq!(client.head().0, 100);
    client.send("hello");
    assert_eq!(client.response().body, "hello");
    let mut too_large = fixture.client();
    too_large.send(format!("{head}content-length: 100001\r\n\r\n"));
    assert_eq!(too_large.response().status, 413);
}

#[test]
fn a_client_that_does_not_read_is_dropped() {
    let config = HttpServerConfig { write_stall_timeout: Duration::from_millis(300), ..HttpServerConfig::default() };
    let fixture = Fixture::new(config);
    let _client = fixture.open_stream();
    let hang_up = fixture.hang_up();
    send_until_over(&fixture, &hang_up, 1 << 20);
    assert!(hang_up.is_set());
}

/// Sends more than the client takes until the handler is told that the client is gone.
fn send_until_over(fixture: &Fixture, hang_up: &HangUp, chunk_bytes: usize) {
    let deadline = Instant::now() + PATIENCE;
    while Instant::now() < deadline {
        let more = Step::Send("w".repeat(chunk_bytes));
        crossbeam::channel::select! {
            send(fixture.steps, more) -> sent => sent.expect("the handler is there"),
            recv(hang_up.over()) -> _ => return,
            default(PATIENCE) => {}
        }
    }
    panic!("the client is served for good");
}
