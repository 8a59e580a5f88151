//! Stand-ins for the platform's store, clients and engines, and a starter of the system's own program, for the scripts
//! of this review. Only the standard library is used. All addresses are on loopback.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The figures that the pages give for the small deployment.
pub const GRACE_SECONDS: u64 = 8;

/// What was sent, answered and run, with the time since the start of the script.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Begins the record at `path`.
    pub fn begin(path: &Path) -> io::Result<Self> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), began: Instant::now() })
    }

    /// Writes a line.
    pub fn note(&self, line: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {}", line.as_ref());
        let _ = file.flush();
    }
}

/// Whether the disruption is left out.
pub fn is_without_trouble() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// The folder of the case, the first argument of the program.
pub fn case_folder() -> PathBuf {
    PathBuf::from(std::env::args().nth(1).expect("the first argument is the folder of the case"))
}

/// An address on loopback whose port is free for TCP and UDP.
pub fn free_address() -> SocketAddr {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be bound");
        let address = listener.local_addr().expect("a bound address");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Waits until `condition` holds; returns whether it did within `limit`.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !condition() {
        if Instant::now() > until {
            return false;
        }
        thread::sleep(Duration::from_millis(5));
    }
    true
}

// --- HTTP/1.1 messages ---

/// A message that was read.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its head announced it.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn request_id(&self) -> String {
        self.header("x-request-id").unwrap_or_default().to_owned()
    }
}

/// A connection that carries messages.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Connection::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut piece = [0; 16 * 1024];
        let read = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..read]);
        Ok(read > 0)
    }

    /// Reads the head of the next message; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let first_line = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned())).collect();
                return Ok(Some(Message { first_line, headers, body: Vec::new(), is_whole: true }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads the next message; `None` at the end of the connection.
    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        let is_answer = message.first_line.starts_with("HTTP/");
        let length = message.header("content-length").and_then(|length| length.parse::<usize>().ok());
        let is_chunked = message.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked"));
        let read = if is_chunked {
            self.read_chunks(&mut message.body)
        } else if let Some(length) = length {
            self.read_bytes(length, &mut message.body)
        } else if is_answer && !matches!(message.status(), 204 | 304) {
            self.read_to_end(&mut message.body)
        } else {
            Ok(true)
        };
        message.is_whole = read.unwrap_or(false);
        Ok(Some(message))
    }

    fn read_bytes(&mut self, length: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.buffer.len() < length {
            if !self.fill()? {
                body.append(&mut self.buffer);
                return Ok(false);
            }
        }
        body.extend(self.buffer.drain(..length));
        Ok(true)
    }

    fn read_to_end(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.fill()? {}
        body.append(&mut self.buffer);
        Ok(true)
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            while !self.buffer.windows(2).any(|window| window == b"\r\n") {
                if !self.fill()? {
                    return Ok(false);
                }
            }
            let end = self.buffer.windows(2).position(|window| window == b"\r\n").unwrap_or_default();
            let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            self.buffer.drain(..end + 2);
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return Ok(false);
            };
            if !self.read_bytes(size, body)? {
                return Ok(false);
            }
            if !self.read_bytes(2, &mut Vec::new())? {
                return Ok(false);
            }
            if size == 0 {
                return Ok(true);
            }
        }
    }
}

/// An answer with a body of known length.
pub fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// --- JSON, as far as the store needs it ---

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// A number, `true`, `false` or `null`, as written.
    Plain(String),
    /// A string, with its escapes as written.
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut rest = text.trim_start();
        Json::read(&mut rest)
    }

    fn read(rest: &mut &str) -> Option<Json> {
        *rest = rest.trim_start();
        match rest.chars().next()? {
            '"' => Json::read_text(rest).map(Json::Text),
            '{' => {
                *rest = rest[1..].trim_start();
                let mut members = Vec::new();
                while !rest.starts_with('}') {
                    let key = Json::read_text(rest)?;
                    *rest = rest.trim_start().strip_prefix(':')?;
                    members.push((key, Json::read(rest)?));
                    *rest = rest.trim_start();
                    *rest = rest.strip_prefix(',').unwrap_or(rest).trim_start();
                }
                *rest = &rest[1..];
                Some(Json::Table(members))
            }
            '[' => {
                *rest = rest[1..].trim_start();
                let mut items = Vec::new();
                while !rest.starts_with(']') {
                    items.push(Json::read(rest)?);
                    *rest = rest.trim_start();
                    *rest = rest.strip_prefix(',').unwrap_or(rest).trim_start();
                }
                *rest = &rest[1..];
                Some(Json::List(items))
            }
            _ => {
                let end = rest.find(|sign: char| ",]}".contains(sign) || sign.is_whitespace()).unwrap_or(rest.len());
                let plain = rest[..end].to_owned();
                *rest = &rest[end..];
                Some(Json::Plain(plain))
            }
        }
    }

    fn read_text(rest: &mut &str) -> Option<String> {
        let text = rest.trim_start().strip_prefix('"')?;
        let mut is_escaped = false;
        for (index, sign) in text.char_indices() {
            match sign {
                _ if is_escaped => is_escaped = false,
                '\\' => is_escaped = true,
                '"' => {
                    *rest = &text[index + 1..];
                    return Some(text[..index].to_owned());
                }
                _ => {}
            }
        }
        None
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(members) => members.iter().find(|(name, _)| name == key).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) | Json::Plain(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        self.text()?.parse().ok()
    }

    pub fn write(&self) -> String {
        match self {
            Json::Plain(plain) => plain.clone(),
            Json::Text(text) => format!("\"{text}\""),
            Json::List(items) => format!("[{}]", items.iter().map(Json::write).collect::<Vec<_>>().join(",")),
            Json::Table(members) => {
                let members = members.iter().map(|(key, value)| format!("\"{key}\":{}", value.write()));
                format!("{{{}}}", members.collect::<Vec<_>>().join(","))
            }
        }
    }
}

// --- the platform's store ---

#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    /// The `Spec`; `None` if the object was removed.
    spec: Option<String>,
}

impl Change {
    fn object(&self) -> String {
        let spec = self.spec.as_deref().unwrap_or("null");
        format!(
            "{{\"Metadata\":{{\"Name\":\"{}\",\"Revision\":{},\"Created\":1,\"Finalizers\":[],\"Deleting\":false}},\
             \"Spec\":{spec},\"Status\":null}}",
            self.name, self.revision
        )
    }
}

#[derive(Default)]
struct Objects {
    changes: Vec<Change>,
}

/// A sound store: objects by kind and name, one counter of revisions, lists, watches and conditional writes.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    objects: Arc<Mutex<Objects>>,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be bound");
        let store = Store { address: listener.local_addr().expect("a bound address"), objects: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes an object, as the operator and the engines do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.objects.lock().unwrap().write(kind, name, Some(spec.to_owned()));
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_message() {
            let (status, body) = self.answer(&request);
            let bytes = answer(status, "Content-Type: application/json\r\n", body.as_bytes());
            if connection.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.trim_start_matches("/-/objects/");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        match request.method() {
            "GET" if name.is_empty() => self.list_or_watch(kind, query),
            "GET" => match self.objects.lock().unwrap().newest(kind, name) {
                Some(change) => ("200 OK", change.object()),
                None => ("404 Not Found", String::new()),
            },
            "POST" | "PUT" => self.write(request.method() == "POST", kind, &request.body),
            "DELETE" => {
                let mut objects = self.objects.lock().unwrap();
                if objects.newest(kind, name).is_none() {
                    return ("404 Not Found", String::new());
                }
                objects.write(kind, name, None);
                ("200 OK", String::new())
            }
            _ => ("400 Bad Request", String::new()),
        }
    }

    fn write(&self, creates: bool, kind: &str, body: &[u8]) -> (&'static str, String) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(body)) else {
            return ("400 Bad Request", String::new());
        };
        let metadata = body.get("Metadata");
        let name = metadata.and_then(|metadata| metadata.get("Name")?.text()).unwrap_or_default().to_owned();
        let expected = metadata.and_then(|metadata| metadata.get("Revision")?.number());
        let spec = body.get("Spec").map(Json::write).unwrap_or_default();
        let mut objects = self.objects.lock().unwrap();
        match objects.newest(kind, &name) {
            Some(present) if creates || expected.is_some_and(|expected| expected != present.revision) => {
                return ("409 Conflict", present.object());
            }
            None if !creates => return ("404 Not Found", String::new()),
            _ => {}
        }
        objects.write(kind, &name, Some(spec));
        ("200 OK", objects.newest(kind, &name).map(|change| change.object()).unwrap_or_default())
    }

    fn list_or_watch(&self, kind: &str, query: &str) -> (&'static str, String) {
        let number = |name: &str| {
            let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
            value.and_then(|value| value.parse::<u64>().ok())
        };
        let after = query.split('&').find_map(|pair| pair.strip_prefix("after=")).unwrap_or_default();
        let Some(watched) = number("Watch") else {
            let objects = self.objects.lock().unwrap();
            let items = objects.present(kind).into_iter().filter(|change| change.name.as_str() > after);
            let items: Vec<String> = items.map(Change::object).collect();
            let body = format!("{{\"items\":[{}],\"More\":false,\"At\":{}}}", items.join(","), objects.revision());
            return ("200 OK", body);
        };
        let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or_default());
        loop {
            {
                let objects = self.objects.lock().unwrap();
                let changed = objects.changes.iter().filter(|change| change.kind == kind && change.revision > watched);
                let events: Vec<String> = changed
                    .map(|change| format!("{{\"Gone\":{},\"Object\":{}}}", change.spec.is_none(), change.object()))
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    return ("200 OK", format!("{{\"events\":[{}],\"At\":{}}}", events.join(","), objects.revision()));
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Objects {
    fn revision(&self) -> u64 {
        self.changes.last().map_or(1, |change| change.revision)
    }

    fn newest(&self, kind: &str, name: &str) -> Option<&Change> {
        let newest = self.changes.iter().rev().find(|change| change.kind == kind && change.name == name);
        newest.filter(|change| change.spec.is_some())
    }

    fn present(&self, kind: &str) -> Vec<&Change> {
        let mut newest: BTreeMap<&str, &Change> = BTreeMap::new();
        for change in self.changes.iter().filter(|change| change.kind == kind) {
            newest.insert(&change.name, change);
        }
        newest.into_values().filter(|change| change.spec.is_some()).collect()
    }

    fn write(&mut self, kind: &str, name: &str, spec: Option<String>) {
        let revision = self.revision() + 1;
        self.changes.push(Change { revision, kind: kind.to_owned(), name: name.to_owned(), spec });
    }
}

/// The entry that an engine of the service `desk` writes of itself.
pub fn engine_entry(address: SocketAddr) -> String {
    format!(
        "{{\"Backend\":\"desk\",\"Address\":\"{address}\",\"Zone\":\"patan\",\"Version\":\"v1\",\"Slots\":6,\
         \"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":1}}"
    )
}

/// A route of the configuration to the service `desk`.
pub fn route(prefix: &str, kind: &str, attempts: u32) -> String {
    format!(
        "{{\"Name\":\"r-{prefix}\",\"Hostname\":\"desk.example\",\"PathPrefix\":\"/{prefix}/\",\"Kind\":\"{kind}\",\
         \"TimeoutMs\":1000,\"TargetLatencyMs\":150,\"Priority\":2,\"Backend\":\"desk\",\
         \"MaxAttempts\":{attempts},\"StickySessions\":false,\"Resumable\":false}}"
    )
}

/// A configuration with this route to the service `desk`, an application.
pub fn configuration(route: &str) -> String {
    format!(
        "{{\"Version\":1,\"Routes\":[{route}],\"Services\":[{{\"Name\":\"desk\",\"HealthPath\":\"/health\",\
         \"MaxConnections\":100,\"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}"
    )
}

// --- the system's own program ---

/// A node of the system as a process of its own, started as the deploy file says.
pub struct Node {
    pub callers: SocketAddr,
    readiness: SocketAddr,
    child: Child,
    folder: PathBuf,
}

impl Node {
    /// Starts a node that follows the store at `store`. The program is started at the root of the repository.
    fn start(name: &str, store: SocketAddr) -> io::Result<Self> {
        let (callers, readiness, peers) = (free_address(), free_address(), free_address());
        let (notices, metrics) = (free_address(), free_address());
        let folder = std::env::temp_dir().join(format!("havengate-review-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder)?;
        // As `deploy/node.toml` is filled for the small deployment.
        let settings = format!(
            "name = \"{name}\"\nzone = \"patan\"\ncallers_address = \"{callers}\"\nreadiness_address = \"{readiness}\"\n\
             peers_address = \"{peers}\"\nnotices_address = \"{notices}\"\nstore_address = \"{store}\"\n\
             metrics_address = \"{metrics}\"\nseeds = [\"{peers}\"]\nstop_grace_seconds = {GRACE_SECONDS}\n\n\
             [retry_budget]\nratio = 0.2\nslack = 54\nwindow_seconds = 10\n\n\
             [duty_lease]\nhand_over_milliseconds = 3000\n"
        );
        let path = folder.join("settings.toml");
        fs::write(&path, settings)?;
        let child = Command::new("target/release/havengate-on-platform")
            .env("HAVENGATE_BOOT", &path)
            .env("HAVENGATE_FIRST_START", "true")
            .env("HAVENGATE_ADDED_SETTINGS", "[zone_regions]\npatan = \"kathmandu\"\n")
            .stdin(Stdio::null())
            .stdout(File::create(folder.join("log"))?)
            .stderr(Stdio::inherit())
            .spawn()?;
        Ok(Node { callers, readiness, child, folder })
    }

    /// Whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.readiness) else {
            return false;
        };
        let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(1)));
        let asked = connection.write(b"GET /-/readiness HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n");
        asked.is_ok() && connection.read_message().ok().flatten().is_some_and(|answer| answer.status() == 200)
    }

    /// Starts a node and waits until it says that it is ready; `None` if none becomes ready in three tries. A port that was
    /// free may be taken before the node binds it; the node then ends at once.
    pub fn start_ready(name: &str, store: SocketAddr) -> io::Result<Option<Self>> {
        for _ in 0..3 {
            let mut node = Node::start(name, store)?;
            wait_for(Duration::from_secs(10), || node.is_ready() || !node.runs());
            if node.is_ready() {
                return Ok(Some(node));
            }
        }
        Ok(None)
    }

    /// Whether the process runs.
    fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
