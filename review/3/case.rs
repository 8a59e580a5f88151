//! MIXED: a success whose seal an engine has spoiled reaches the client, if its head says that it is JSON.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[path = "../standins.rs"]
mod standins;

use standins::*;

/// How often the faulty engine spoils an answer: one in 33 (0.03).
const SPOILED_EVERY: usize = 33;
const WORK: Duration = Duration::from_millis(10);
const REQUESTS: usize = 200;
const CLIENTS: usize = 4;

/// The body that an engine has made for each request.
type Bodies = Arc<Mutex<BTreeMap<String, String>>>;

fn body_of(id: &str) -> String {
    format!("{{\"ticket\":\"{id}\",\"lines\":\"{}\"}}", "0123456789".repeat(78))
}

fn start_engine(name: &'static str, is_faulty: bool, bodies: Bodies, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be bound");
    let address = listener.local_addr().expect("a bound address");
    let answered = Arc::new(Mutex::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (bodies, record, answered) = (Arc::clone(&bodies), record.clone(), Arc::clone(&answered));
            thread::spawn(move || serve(Connection::new(stream), name, is_faulty, &bodies, &record, &answered));
        }
    });
    address
}

fn serve(
    mut connection: Connection,
    name: &'static str,
    is_faulty: bool,
    bodies: &Bodies,
    record: &Record,
    answered: &Mutex<usize>,
) {
    while let Ok(Some(request)) = connection.read_message() {
        let id = request.request_id();
        if request.header("x-expect-instance").is_some_and(|expected| expected != name) {
            let headers = format!("X-Request-Id: {id}\r\nX-Instance-Id: {name}\r\n");
            if connection.write(&answer("421 Misdirected Request", &headers, b"")).is_err() {
                return;
            }
            continue;
        }
        thread::sleep(WORK);
        let body = body_of(&id);
        bodies.lock().unwrap().insert(id.clone(), body.clone());
        let is_spoiled = {
            let mut answered = answered.lock().unwrap();
            *answered += 1;
            is_faulty && *answered % SPOILED_EVERY == 0
        };
        // In a spoiled answer, a byte of the head is wrong: that line is no seal.
        let seal = if is_spoiled { "X-Respynse-Seal" } else { "X-Response-Seal" };
        let headers = format!("X-Request-Id: {id}\r\n{seal}: {name}.{id}\r\nContent-Type: application/json\r\n");
        let spoiled = if is_spoiled { ", with a spoiled seal" } else { "" };
        record.note(format!("engine {name} runs {id} and answers{spoiled}"));
        if connection.write(&answer("200 OK", &headers, body.as_bytes())).is_err() {
            return;
        }
    }
}

/// What a client saw that breaks the rule.
type Faults = Arc<Mutex<Vec<String>>>;

fn run_client(number: usize, callers: SocketAddr, faults: &Faults, record: &Record) {
    let mut connection: Option<Connection> = None;
    let fault = |text: String| {
        record.note(format!("client {number}: {text}"));
        faults.lock().unwrap().push(text);
    };
    for request in 0..REQUESTS {
        let id = format!("{number:02x}c0{request:012x}");
        let Ok(mut open) = connection.take().map_or_else(|| Connection::open(callers), Ok) else {
            continue;
        };
        let _ = open.stream.set_read_timeout(Some(Duration::from_secs(2)));
        let head = format!(
            "GET /tickets/2f HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1000\r\n\r\n"
        );
        record.note(format!("client {number} sends {id}"));
        if open.write(head.as_bytes()).is_err() {
            continue;
        }
        match open.read_message() {
            Ok(Some(got)) => {
                let (status, seal) = (got.status(), got.header("x-response-seal").map(str::to_owned));
                record.note(format!("client {number} gets {status} for {id}, seal: {seal:?}"));
                if (200..300).contains(&status) && seal.is_none() {
                    fault(format!("a success for {id} without the seal of an engine"));
                }
                if got.is_whole {
                    connection = Some(open);
                }
            }
            other => record.note(format!("client {number} gets no answer for {id}: {other:?}")),
        }
    }
}

fn main() {
    let record = Record::begin(&case_folder().join("record.txt")).expect("the record can be written");
    exit(run(&record).unwrap_or_else(|error| {
        record.note(format!("not run: {error}"));
        NOT_RUN
    }));
}

fn run(record: &Record) -> std::io::Result<i32> {
    let (store, bodies, faults) = (Store::start(), Bodies::default(), Faults::default());
    let has_trouble = !is_without_trouble();
    for (name, is_faulty) in [("i-7f3a91c2", has_trouble), ("i-02d9e6b4", false)] {
        let address = start_engine(name, is_faulty, Arc::clone(&bodies), record.clone());
        store.put("servers", name, &engine_entry(address));
    }
    store.put("config", "main", &configuration(&route("tickets", "safe", 2)));
    let Some(node) = Node::start_ready("front-patan-1", store.address)? else {
        record.note("the node does not become ready");
        return Ok(NOT_RUN);
    };
    thread::sleep(Duration::from_secs(1));
    let began = Instant::now();
    let clients = (0..CLIENTS).map(|number| {
        let (record, callers) = (record.clone(), node.callers);
        let faults = Arc::clone(&faults);
        thread::spawn(move || run_client(number, callers, &faults, &record))
    });
    for client in clients.collect::<Vec<_>>() {
        let _ = client.join();
    }
    let (run, faults) = (bodies.lock().unwrap().len(), faults.lock().unwrap().len());
    record.note(format!(
        "{run} requests have run in {:.1} s; {faults} times the rule was broken",
        began.elapsed().as_secs_f64()
    ));
    if run < CLIENTS * REQUESTS / 2 {
        return Ok(NOT_RUN);
    }
    Ok(if faults == 0 { HELD } else { BROKEN })
}
