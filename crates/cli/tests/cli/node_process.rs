//! A real node as a process, with a stand-in platform: from its start to its planned stop, by the command line alone.

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use havengate_node::operators::{PlanAnswer, StatusAnswer};
use havengate_rehearsal::platform::model::PlatformModelConfig;
use havengate_rehearsal::platform::server::{PlatformHandle, PlatformServer};

use crate::support::{Run, TemporaryFile, command, example, run};

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

/// The configuration of an example deployment, as an intent.
fn first_configuration(name: &str) -> TemporaryFile {
    let text = std::fs::read_to_string(example("himal-chhapai.toml")).expect("the example");
    let mut deployment: toml::Table = toml::from_str(&text).expect("TOML");
    deployment.retain(|key, _| key == "configuration");
    TemporaryFile::new(name, &toml::to_string(&deployment).expect("TOML"))
}

#[test]
fn a_first_configuration_comes_in_force_by_plan_and_confirmation() {
    let node = NodeProcess::start();
    let file = first_configuration("first.toml");
    let proposed = node.run_until_done(&["intent", file.path(), "--format", "json"]);
    let plan: PlanAnswer = serde_json::from_str(&proposed.output).expect("a plan");
    assert!(plan.changes.iter().any(|line| line.starts_with("engine lekh-model-01 added")), "{:?}", plan.changes);
    assert!(!proposed.output.contains("publishers-example-key"), "a plan shows no tenant's key");

    let before: StatusAnswer = status(&node);
    assert_eq!(before.configuration.version.0, 0, "nothing takes effect before the plan is confirmed");
    let id = plan.id.to_string();
    let confirmed = node.run(&["confirm", &id, "--wait", "30s"]);
    assert_eq!(confirmed.code, 0, "{confirmed:?}");
    assert_eq!(status(&node).configuration.version.0, 1);

    let overtaken = node.run(&["intent", &example("intent.toml"), "--format", "json"]);
    let overtaken: PlanAnswer = serde_json::from_str(&overtaken.output).expect("a plan");
    let first = TemporaryFile::new("first-change.toml", "[[tenant]]\nname = \"schools\"\ncontract = \"question\"\n");
    let winner = node.run(&["intent", first.path(), "--format", "json"]);
    let winner: PlanAnswer = serde_json::from_str(&winner.output).expect("a plan");
    assert_eq!(node.run(&["confirm", &winner.id.to_string(), "--wait", "30s"]).code, 0);
    let stale = node.run(&["confirm", &overtaken.id.to_string()]);
    assert_eq!(stale.code, 5, "of two plans for one version, one wins: {stale:?}");
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
