//! A node's operators' API with fixed answers, and the built binary.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::{Arc, Mutex};

use serde::Serialize;

/// A request as it reached the node.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedRequest {
    /// Method and path.
    pub line: String,
    /// The body, `null` when empty.
    pub body: serde_json::Value,
}

/// A node that gives each request the same answer and remembers what was asked.
pub struct FakeNode {
    address: String,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl FakeNode {
    /// A node that answers with `status` and `answer` as JSON.
    pub fn answering(status: u16, answer: &impl Serialize) -> Self {
        let body = serde_json::to_string(answer).expect("an answer");
        FakeNode::answering_text(status, &body)
    }

    /// A node that answers with `status` and the text `body`.
    pub fn answering_text(status: u16, body: &str) -> Self {
        let response =
            format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}", body.len());
        FakeNode::serving(Some(response))
    }

    /// A node that takes requests and never answers.
    pub fn silent() -> Self {
        FakeNode::serving(None)
    }

    fn serving(response: Option<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let received = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&received);
        std::thread::spawn(move || {
            let mut silent = Vec::new();
            for stream in listener.incoming().flatten() {
                let Some(request) = read_request(&stream) else { continue };
                log.lock().expect("no panic").push(request);
                match &response {
                    Some(response) => drop((&stream).write_all(response.as_bytes())),
                    None => silent.push(stream),
                }
            }
        });
        FakeNode { address, received }
    }

    /// The address to call it at.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// The requests so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().expect("no panic").clone()
    }
}

fn read_request(stream: &TcpStream) -> Option<ReceivedRequest> {
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first).ok()?;
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        let header = header.trim().to_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let line = first.split(' ').take(2).collect::<Vec<_>>().join(" ");
    Some(ReceivedRequest { line, body: serde_json::from_slice(&body).unwrap_or_default() })
}

/// What a run of the binary ended with.
#[derive(Debug)]
pub struct Run {
    /// The exit code.
    pub code: i32,
    /// Standard output.
    pub output: String,
    /// Standard error.
    pub errors: String,
}

/// The built binary, with `arguments`.
pub fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_havengate"));
    command.args(arguments).env_remove("HAVENGATE_NODE").stdin(Stdio::null());
    command
}

/// Runs the binary to its end.
pub fn run(arguments: &[&str]) -> Run {
    let Output { status, stdout, stderr } = command(arguments).output().expect("the binary runs");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    Run { code: status.code().expect("an exit code"), output: text(stdout), errors: text(stderr) }
}

/// Runs the binary against `node`.
pub fn run_at(node: &FakeNode, arguments: &[&str]) -> Run {
    run(&[arguments, &["--node", node.address()]].concat())
}

/// The path of an example.
pub fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

/// A file that is removed at the end of the test.
pub struct TemporaryFile(PathBuf);

impl TemporaryFile {
    /// A file with `text`; `name` is unique among the tests.
    pub fn new(name: &str, text: &str) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("a temporary file");
        TemporaryFile(path)
    }

    /// Its path.
    pub fn path(&self) -> &str {
        self.0.to_str().expect("a path of text")
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
