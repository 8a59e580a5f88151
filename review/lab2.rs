//! Stand-ins and helpers of the cases 4 and later: a store, raw HTTP, nodes as separate processes.
//! The standard library only. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- JSON, as far as the store needs it

/// A JSON value. Numbers keep their text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = Json::value(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(members) => members.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    fn skip(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Json::skip(bytes, at);
        match bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut members = Vec::new();
                loop {
                    Json::skip(bytes, at);
                    match bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Object(members));
                        }
                        b',' => *at += 1,
                        _ => {
                            let key = Json::string(bytes, at)?;
                            Json::skip(bytes, at);
                            if *bytes.get(*at)? != b':' {
                                return None;
                            }
                            *at += 1;
                            members.push((key, Json::value(bytes, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Json::skip(bytes, at);
                    match bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(items));
                        }
                        b',' => *at += 1,
                        _ => items.push(Json::value(bytes, at)?),
                    }
                }
            }
            b'"' => Json::string(bytes, at).map(Json::Text),
            b't' => Json::word(bytes, at, "true", Json::Bool(true)),
            b'f' => Json::word(bytes, at, "false", Json::Bool(false)),
            b'n' => Json::word(bytes, at, "null", Json::Null),
            _ => {
                let begin = *at;
                while bytes.get(*at).is_some_and(|byte| byte.is_ascii_alphanumeric() || b"+-.".contains(byte)) {
                    *at += 1;
                }
                (*at > begin).then(|| Json::Number(String::from_utf8_lossy(&bytes[begin..*at]).into_owned()))
            }
        }
    }

    fn word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
        bytes[*at..].starts_with(word.as_bytes()).then(|| {
            *at += word.len();
            value
        })
    }

    fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
        if *bytes.get(*at)? != b'"' {
            return None;
        }
        *at += 1;
        let mut text = Vec::new();
        loop {
            let byte = *bytes.get(*at)?;
            *at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *bytes.get(*at)?;
                    *at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                            let code = char::from_u32(u32::from_str_radix(code, 16).ok()?)?;
                            *at += 4;
                            text.extend(code.to_string().bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }

    pub fn write(&self) -> String {
        match self {
            Json::Null => "null".to_owned(),
            Json::Bool(value) => value.to_string(),
            Json::Number(text) => text.clone(),
            Json::Text(text) => quoted(text),
            Json::List(items) => format!("[{}]", items.iter().map(Json::write).collect::<Vec<_>>().join(",")),
            Json::Object(members) => {
                let members = members.iter().map(|(key, value)| format!("{}:{}", quoted(key), value.write()));
                format!("{{{}}}", members.collect::<Vec<_>>().join(","))
            }
        }
    }
}

fn quoted(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            other if other.is_control() => drop(write!(quoted, "\\u{:04x}", other as u32)),
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

// ---------------------------------------------------------------- HTTP messages

/// A message as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the framing shows that the body is whole.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 65536];
        let length = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..length]);
        Ok(length)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, length: usize, into: &mut Vec<u8>) -> io::Result<bool> {
        let mut left = length;
        loop {
            let taken = left.min(self.buffer.len());
            into.extend(self.buffer.drain(..taken));
            left -= taken;
            if left == 0 {
                return Ok(true);
            }
            if self.fill()? == 0 {
                return Ok(false);
            }
        }
    }

    /// The head of the next message; `None` when the connection has ended before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(first_line) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message { first_line, ..Message::default() };
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => return Ok(Some(message)),
                Some(line) => {
                    if let Some((key, value)) = line.split_once(':') {
                        message.headers.push((key.trim().to_owned(), value.trim().to_owned()));
                    }
                }
            }
        }
    }

    /// Reads the body. One of an answer without a length and without chunks ends with the connection.
    pub fn body(&mut self, message: &mut Message, is_answer: bool) -> io::Result<()> {
        if message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
            loop {
                let Some(line) = self.line()? else {
                    return Ok(());
                };
                let Ok(length) = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16) else {
                    return Ok(());
                };
                if !self.exactly(length, &mut message.body)? {
                    return Ok(());
                }
                let Some(_) = self.line()? else {
                    return Ok(());
                };
                if length == 0 {
                    message.complete = true;
                    return Ok(());
                }
            }
        }
        if let Some(length) = message.header("content-length").and_then(|value| value.parse().ok()) {
            message.complete = self.exactly(length, &mut message.body)?;
            return Ok(());
        }
        if !is_answer {
            message.complete = true;
            return Ok(());
        }
        loop {
            message.body.append(&mut self.buffer);
            if self.fill()? == 0 {
                message.complete = true;
                return Ok(());
            }
        }
    }

    pub fn message(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        // A connection that fails in the middle leaves the message incomplete.
        if let Err(error) = self.body(&mut message, is_answer) {
            message.complete = false;
            if error.kind() == io::ErrorKind::WouldBlock {
                return Err(error);
            }
        }
        Ok(Some(message))
    }
}

/// Sends a request over a new connection and reads the answer.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    Reader::new(stream).message(true)
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Stored {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

struct Change {
    revision: u64,
    kind: String,
    object: String,
    gone: bool,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    changes: Vec<Change>,
    calls: u64,
}

/// The platform's metadata store: kinds, revisions, conditions and watches, as PROTOCOL.md describes them.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

fn object_text(name: &str, stored: &Stored) -> String {
    format!(
        "{{\"Metadata\":{{\"Name\":{},\"Revision\":{},\"Created\":{},\"Finalizers\":[],\"Deleting\":false}},\"Spec\":{},\"Status\":{}}}",
        quoted(name),
        stored.revision,
        stored.created,
        stored.spec.write(),
        stored.status.write()
    )
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be bound");
        let address = listener.local_addr().expect("a listener has an address");
        let store = Store { address, state: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object as the platform or the operator does. The return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).expect("the text is JSON");
        let mut state = self.state.0.lock().unwrap();
        state.store(kind, name, spec);
        self.state.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.remove(kind, name);
        self.state.1.notify_all();
    }

    /// The spec of an object.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Json> {
        let state = self.state.0.lock().unwrap();
        state.objects.get(&(kind.to_owned(), name.to_owned())).map(|stored| stored.spec.clone())
    }

    /// How many calls there were.
    pub fn calls(&self) -> u64 {
        self.state.0.lock().unwrap().calls
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message(false) {
            // The platform takes some four milliseconds an answer.
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            let head = format!("HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
            if writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")).map(str::to_owned));
        let mut parts = path.strip_prefix("/-/objects/").unwrap_or("").split('/');
        let (kind, name) = (parts.next().unwrap_or("").to_owned(), parts.next().map(str::to_owned));
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let metadata = body.get("Metadata").cloned().unwrap_or(Json::Null);
        let mut state = self.state.0.lock().unwrap();
        state.calls += 1;
        match (request.method(), name) {
            ("GET", None) => match parameter("Watch").and_then(|text| text.parse::<u64>().ok()) {
                Some(after) => {
                    let wait = parameter("WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                    let until = Instant::now() + Duration::from_millis(wait);
                    while !state.changes.iter().any(|change| change.kind == kind && change.revision > after) {
                        let now = Instant::now();
                        if now >= until {
                            break;
                        }
                        state = self.state.1.wait_timeout(state, until - now).unwrap().0;
                    }
                    let of_kind = state.changes.iter().filter(|change| change.kind == kind && change.revision > after);
                    let events: Vec<String> =
                        of_kind.map(|change| format!("{{\"Object\":{},\"Gone\":{}}}", change.object, change.gone)).collect();
                    (200, format!("{{\"events\":[{}],\"At\":{}}}", events.join(","), state.revision))
                }
                None => {
                    let after = parameter("after").unwrap_or_default();
                    let of_kind = state.objects.iter().filter(|((other, name), _)| *other == kind && *name > after);
                    let items: Vec<String> = of_kind.map(|((_, name), stored)| object_text(name, stored)).collect();
                    (200, format!("{{\"items\":[{}],\"More\":false,\"At\":{}}}", items.join(","), state.revision))
                }
            },
            ("GET", Some(name)) => match state.objects.get(&(kind, name.clone())) {
                Some(stored) => (200, object_text(&name, stored)),
                None => (404, "{}".to_owned()),
            },
            ("POST", None) => {
                let name = metadata.get("Name").and_then(Json::text).unwrap_or("").to_owned();
                if let Some(stored) = state.objects.get(&(kind.clone(), name.clone())) {
                    return (409, object_text(&name, stored));
                }
                let spec = body.get("Spec").cloned().unwrap_or(Json::Null);
                let text = state.store(&kind, &name, spec);
                self.state.1.notify_all();
                (201, text)
            }
            ("PUT", Some(name)) => {
                let Some(stored) = state.objects.get(&(kind.clone(), name.clone())) else {
                    return (404, "{}".to_owned());
                };
                let expected = metadata.get("Revision").and_then(Json::number);
                if expected.is_some_and(|expected| expected != stored.revision) {
                    return (409, object_text(&name, stored));
                }
                let spec = body.get("Spec").cloned().unwrap_or(Json::Null);
                let text = state.store(&kind, &name, spec);
                self.state.1.notify_all();
                (200, text)
            }
            ("DELETE", Some(name)) => {
                let found = state.remove(&kind, &name);
                self.state.1.notify_all();
                (if found { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }
}

impl StoreState {
    fn store(&mut self, kind: &str, name: &str, spec: Json) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(stored) = self.objects.get(&key) {
            if stored.spec == spec {
                return object_text(name, stored);
            }
        }
        self.revision += 1;
        let created = self.objects.get(&key).map_or(self.revision, |stored| stored.created);
        let stored = Stored { revision: self.revision, created, spec, status: Json::Object(Vec::new()) };
        let text = object_text(name, &stored);
        self.changes.push(Change { revision: self.revision, kind: kind.to_owned(), object: text.clone(), gone: false });
        self.objects.insert(key, stored);
        text
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(stored) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        self.revision += 1;
        let object = object_text(name, &stored);
        self.changes.push(Change { revision: self.revision, kind: kind.to_owned(), object, gone: true });
        true
    }
}

// ---------------------------------------------------------------- the operator's and the engines' objects

/// A route of a configuration.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, attempts: u32, target_ms: u64) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"Hostname\":\"app.example\",\"PathPrefix\":\"/{name}/\",\"Kind\":\"{kind}\",\
         \"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":{target_ms},\"Priority\":1,\"Backend\":\"{service}\",\
         \"MaxAttempts\":{attempts},\"StickySessions\":false,\"Resumable\":false}}"
    )
}

/// A service of a configuration.
pub fn service(name: &str, connections: u32) -> String {
    format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":{connections},\"Protocol\":\"h1\",\"Tls\":false}}")
}

/// A configuration. The limits are those that the bench's small deployments have.
pub fn configuration(version: u64, routes: &[String], services: &[String]) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// The entry that an engine writes.
pub fn entry(service: &str, address: SocketAddr, state: &str) -> String {
    entry_in("patan", service, address, state)
}

/// The entry that an engine of another zone writes.
pub fn entry_in(zone: &str, service: &str, address: SocketAddr, state: &str) -> String {
    format!(
        "{{\"Backend\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":6,\
         \"State\":\"{state}\",\"ColdRemainingMs\":0,\"Seq\":1}}"
    )
}

// ---------------------------------------------------------------- processes

/// The ports that are given out, below those that the operating system takes for outgoing connections.
const PORTS: std::ops::Range<u16> = 20_000..32_000;

static PORTS_GIVEN: AtomicU16 = AtomicU16::new(0);

/// A TCP and UDP port that is free now. No port is given out twice.
pub fn free_address() -> SocketAddr {
    // Cases that run side by side begin at different ports.
    let begin = std::process::id().wrapping_mul(97) % u32::from(PORTS.end - PORTS.start);
    loop {
        let number = u32::from(PORTS_GIVEN.fetch_add(1, Ordering::SeqCst));
        let port = PORTS.start + ((begin + number) % u32::from(PORTS.end - PORTS.start)) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Sends a signal to a process that this case started.
pub fn signal(child: &Child, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
}

/// A node of the system, started by the command of the deploy file.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    notices: SocketAddr,
    metrics: SocketAddr,
    store: SocketAddr,
    seeds: Vec<SocketAddr>,
    folder: PathBuf,
    starts: u32,
    pub child: Child,
}

impl Node {
    pub fn start(name: &str, store: SocketAddr, seeds: &[SocketAddr], peers: SocketAddr, folder: &Path) -> Node {
        let (callers, readiness, notices, metrics) = (free_address(), free_address(), free_address(), free_address());
        let settings = Settings { name, callers, readiness, peers, notices, metrics, store, seeds };
        let child = settings.start(folder, 0, true);
        Node {
            name: name.to_owned(),
            callers,
            readiness,
            peers,
            notices,
            metrics,
            store,
            seeds: seeds.to_vec(),
            folder: folder.to_owned(),
            starts: 1,
            child,
        }
    }

    /// Starts the process again, as the platform does after an end.
    pub fn start_again(&mut self) {
        let (name, seeds) = (self.name.clone(), self.seeds.clone());
        let settings = Settings {
            name: &name,
            callers: self.callers,
            readiness: self.readiness,
            peers: self.peers,
            notices: self.notices,
            metrics: self.metrics,
            store: self.store,
            seeds: &seeds,
        };
        self.child = settings.start(&self.folder, self.starts, false);
        self.starts += 1;
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /-/readiness HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";
        matches!(exchange(self.readiness, request, Duration::from_secs(1)), Ok(Some(answer)) if answer.status() == 200)
    }

    /// Whether the node gets ready in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// The log of the last start.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join(format!("{}-{}.log", self.name, self.starts - 1))).unwrap_or_default()
    }

    /// The memory that the process holds, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<u64>().ok()).unwrap_or(0) * 1024
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

struct Settings<'a> {
    name: &'a str,
    callers: SocketAddr,
    readiness: SocketAddr,
    peers: SocketAddr,
    notices: SocketAddr,
    metrics: SocketAddr,
    store: SocketAddr,
    seeds: &'a [SocketAddr],
}

impl Settings<'_> {
    /// Fills `deploy/node.toml` as the platform does, and starts the program of `deploy/system.toml`.
    fn start(&self, folder: &Path, number: u32, first_start: bool) -> Child {
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "name = \"{}\"\nzone = \"patan\"\ncallers_address = \"{}\"\nreadiness_address = \"{}\"\npeers_address = \"{}\"\n\
             notices_address = \"{}\"\nstore_address = \"{}\"\nmetrics_address = \"{}\"\nseeds = [{}]\n\
             stop_grace_seconds = 8\n\n[retry_budget]\nratio = 0.2\nslack = 54\nwindow_seconds = 10\n\n\
             [duty_lease]\nhand_over_milliseconds = 3000\n",
            self.name,
            self.callers,
            self.readiness,
            self.peers,
            self.notices,
            self.store,
            self.metrics,
            seeds.join(",")
        );
        let path = folder.join(format!("{}.toml", self.name));
        fs::write(&path, text).expect("the folder can be written");
        let log = fs::File::create(folder.join(format!("{}-{number}.log", self.name))).expect("the folder can be written");
        let errors = log.try_clone().expect("a file can be shared");
        Command::new(program())
            .env("HAVENGATE_BOOT", &path)
            .env("HAVENGATE_FIRST_START", first_start.to_string())
            .env("HAVENGATE_ADDED_SETTINGS", "[zone_regions]\npatan = \"kathmandu\"\nbhaktapur = \"kathmandu\"\nkirtipur = \"kathmandu\"\nthamel = \"kathmandu\"\n")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file can be started")
    }
}

/// The program of the deploy file, from the root of the repository.
pub fn program() -> PathBuf {
    PathBuf::from("target/release/havengate-on-platform")
}

// ---------------------------------------------------------------- what a case writes down

/// The record of a run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { began: Instant::now(), lines: Arc::default() }
    }

    pub fn note(&self, line: &str) {
        self.lines.lock().unwrap().push(format!("{:9.3} {line}", self.began.elapsed().as_secs_f64()));
    }

    pub fn save(&self, path: &Path) {
        let lines = self.lines.lock().unwrap();
        let _ = fs::write(path, lines.join("\n") + "\n");
    }
}

impl Default for Record {
    fn default() -> Self {
        Record::new()
    }
}

/// A generator of numbers with a fixed seed.
pub struct Numbers(pub u64);

impl Numbers {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    /// From 0 up to 1.
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Whether the run is one with the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A folder for settings and logs, removed when the case ends.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder can be made");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
