//! A real node as a process, with a stand-in platform: from its start to its planned stop, by the command line alone.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use havengate_node::operators::{PlanAnswer, StatusAnswer};
use havengate_rehearsal::platform::model::PlatformModelConfig;
use havengate_rehearsal::platform::server::{PlatformHandle, PlatformServer};

use crate::support::{Run, TemporaryFile, command, run};

/// How often something is looked for before a test gives up on it.
const LOOKS: usize = 1_000;
const PORTS_TRIED: usize = 5;
const PAUSE: Duration = Duration::from_millis(50);

/// A node's process; killed when the test ends without having stopped it.
struct NodeProcess {
    process: Child,
    operators: String,
    _platform: PlatformHandle,
}

impl NodeProcess {
    /// A started node. Another process may take the peers' port in between, so a few are tried.
    fn start() -> Self {
        (0..PORTS_TRIED).find_map(|_| NodeProcess::try_start()).expect("a node starts")
    }

    fn try_start() -> Option<Self> {
        let platform = PlatformServer::start(PlatformModelConfig::default(), (Ipv4Addr::LOCALHOST, 0).into());
        let platform = platform.expect("a stand-in platform");
        let platform_address = platform.address().to_string();
        let peers_address = free_address();
        let arguments =
            ["node", "--zone", "patan", "--callers-address", "127.0.0.1:0", "--operators-address", "127.0.0.1:0"];
        let mut process = command(&arguments);
        process.args(["--peers-address", &peers_address, "--platform-address", &platform_address]);
        let mut process = process.stderr(Stdio::piped()).spawn().expect("the node starts");
        let log = BufReader::new(process.stderr.take().expect("a pipe"));
        let Some(operators) = operators_address(log) else {
            process.wait().expect("the node's end");
            return None;
        };
        Some(NodeProcess { process, operators, _platform: platform })
    }

    /// Runs a command against the node.
    fn run(&self, arguments: &[&str]) -> Run {
        run(&[arguments, &["--node", &self.operators]].concat())
    }

    /// Runs a command again and again until it succeeds.
    fn run_until_done(&self, arguments: &[&str]) -> Run {
        for _ in 0..LOOKS {
            let done = self.run(arguments);
            if done.code == 0 {
                return done;
            }
            std::thread::sleep(PAUSE);
        }
        panic!("{arguments:?} never succeeds: {:?}", self.run(arguments));
    }

    /// The exit code of the process, once it has ended by itself.
    fn exit_code(mut self) -> Option<i32> {
        for _ in 0..LOOKS {
            if let Some(status) = self.process.try_wait().expect("the node's state") {
                return status.code();
            }
            std::thread::sleep(PAUSE);
        }
        panic!("the node never stops");
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Fails when the process has ended already, as it should have.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// An address that was free a moment ago; peers have to know the port beforehand.
fn free_address() -> String {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("an address").to_string()
}

/// Reads the log up to the line with the operators' address, and the rest on a thread, so that the pipe never fills.
fn operators_address(log: impl BufRead + Send + 'static) -> Option<String> {
    let mut lines = log.lines();
    let started = lines.by_ref().map_while(Result::ok).find(|line| line.contains("event=node_started"));
    let address = started?.split(' ').find_map(|pair| pair.strip_prefix("operators=")).map(str::to_owned);
    std::thread::spawn(move || lines.for_each(drop));
    address
}

/// A first configuration, as an intent. Its only zone is the node's: a change waits for the zones of the configuration.
const FIRST_CONFIGURATION: &str = r#"
[configuration]
zone = [{ name = "patan", region = "kathmandu-valley" }]
engine = [{ name = "lekh-model-01", address = "127.0.0.1:1", zone = "patan", model = "lekh-model" }]
model = [{ name = "lekh-model" }]
contract = [
    { name = "verdict", first_token_within = "10s", token_interval = "80ms", repeatable = true },
    { name = "question", first_token_within = "1s", token_interval = "60ms", repeatable = true },
]
tenant = [
    { name = "publishers", api_key = "publishers-example-key", contract = "verdict" },
    { name = "schools", api_key = "schools-example-key", contract = "verdict" },
]
"#;

/// An intent that gives `tenant` another contract.
fn contract_change(tenant: &str) -> TemporaryFile {
    let text = format!("[[tenant]]\nname = \"{tenant}\"\ncontract = \"question\"\n");
    TemporaryFile::new(&format!("{tenant}.toml"), &text)
}

#[test]
fn a_first_configuration_comes_in_force_by_plan_and_confirmation() {
    let node = NodeProcess::start();
    let file = TemporaryFile::new("first.toml", FIRST_CONFIGURATION);
    node.run_until_done(&["intent", file.path()]);
    let (plan, proposed) = propose(&node, &file);
    assert!(plan.changes.iter().any(|line| line.starts_with("engine lekh-model-01 added")), "{:?}", plan.changes);
    assert!(!proposed.output.contains("publishers-example-key"), "a plan shows no tenant's key");

    let before: StatusAnswer = status(&node);
    assert_eq!(before.configuration.version.0, 0, "nothing takes effect before the plan is confirmed");
    let id = plan.id.to_string();
    let confirmed = node.run(&["confirm", &id, "--wait", "30s"]);
    assert_eq!(confirmed.code, 0, "{confirmed:?}");
    assert_eq!(status(&node).configuration.version.0, 1);

    let (overtaken, _) = propose(&node, &contract_change("publishers"));
    let (winner, _) = propose(&node, &contract_change("schools"));
    assert_eq!(node.run(&["confirm", &winner.id.to_string(), "--wait", "30s"]).code, 0);
    let stale = node.run(&["confirm", &overtaken.id.to_string()]);
    assert_eq!(stale.code, 5, "of two plans for one version, one wins: {stale:?}");
}

fn propose(node: &NodeProcess, intent: &TemporaryFile) -> (PlanAnswer, Run) {
    let proposed = node.run(&["intent", intent.path(), "--format", "json"]);
    let plan = serde_json::from_str(&proposed.output).unwrap_or_else(|error| panic!("{error}: {proposed:?}"));
    (plan, proposed)
}

fn status(node: &NodeProcess) -> StatusAnswer {
    let answer = node.run(&["status", "--format", "json"]);
    serde_json::from_str(&answer.output).unwrap_or_else(|error| panic!("{error}: {answer:?}"))
}

#[test]
fn a_node_lists_the_policies_with_their_parameters() {
    let node = NodeProcess::start();
    let listed = node.run_until_done(&["policy", "list"]);
    for expected in ["  hysteresis: ", "    dwell_seconds (default 60): ", "  cost: ", "allowed: 0 to 100"] {
        assert!(listed.output.contains(expected), "{expected:?} is not in:\n{}", listed.output);
    }
}

#[test]
fn a_node_that_is_drained_exits_with_0() {
    let node = NodeProcess::start();
    let draining = node.run_until_done(&["drain"]);
    assert!(draining.output.contains("draining"), "{draining:?}");
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn a_node_that_gets_sigterm_exits_with_0() {
    let node = NodeProcess::start();
    node.run_until_done(&["status"]);
    let kill = format!("kill -TERM {}", node.process.id());
    assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
    assert_eq!(node.exit_code(), Some(0));
}
