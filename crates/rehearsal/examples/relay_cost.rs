//! What a node adds to an engine's stream, in one run against calling the stand-in engine directly.
//!
//! `cargo build --release -p havengate-cli && cargo run --release -p havengate-rehearsal --example relay_cost`
//!
//! Two nodes are started as processes; engines, platform and callers are threads of this one. The node that owns the
//! pool is asked (it dispatches itself) and the other one (one hop between nodes). docs/RELAY.md holds figures.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use havengate_core::world::{Address, Engine};
use havengate_node::engines::dialect::GenerateRequest;
use havengate_node::operators::StatusAnswer;
use havengate_node::platform::dialect::MachineEntry;
use havengate_rehearsal::deployment::{Deployment, DeploymentMachine};
use havengate_rehearsal::engine::model::EngineModelConfig;
use havengate_rehearsal::engine::server::{EngineHandle, EngineServer};
use havengate_rehearsal::live::put_in_force;
use havengate_rehearsal::platform::model::PlatformModelConfig;
use havengate_rehearsal::platform::server::PlatformServer;
use serde_json::json;
use ureq::Agent;

const ROUNDS: u32 = 60;
const QUIET_TOKENS: u32 = 20;
const STREAMS: usize = 240;
/// So long that no stream ends within its phase.
const LOAD_TOKENS: u32 = 1_200;
const LOAD_WINDOW: Duration = Duration::from_secs(5);
const STREAMS_BEGIN_WITHIN: Duration = Duration::from_secs(10);
const CALL_WITHIN: Duration = Duration::from_secs(30);
const PROMPT_WORDS: u32 = 64;
/// Ticks of processor time a second in `/proc/PID/stat`, on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
const KEY: &str = "Bearer relay-example-key";

/// 240 streams at a step of 56 ms are some 4,280 tokens a second.
const DEPLOYMENT: &str = r#"
name = "relay-cost"
client_latency = "0s"
platform = { address = "127.0.0.1:25900", call_latency = "1ms", machine_list_lag = "200ms" }
machine = [
    { zone = "left", callers_address = "127.0.0.1:25901", operators_address = "127.0.0.1:25902", peers_address = "127.0.0.1:25903" },
    { zone = "right", callers_address = "127.0.0.1:25904", operators_address = "127.0.0.1:25905", peers_address = "127.0.0.1:25906" },
]
[configuration]
zone = [{ name = "left", region = "one" }, { name = "right", region = "one" }]
engine = [
    { name = "quiet-1", address = "127.0.0.1:25910", zone = "left", model = "quiet" },
    { name = "load-1", address = "127.0.0.1:25911", zone = "left", model = "load" },
    { name = "load-2", address = "127.0.0.1:25912", zone = "right", model = "load" },
    { name = "load-3", address = "127.0.0.1:25913", zone = "left", model = "load" },
    { name = "load-4", address = "127.0.0.1:25914", zone = "right", model = "load" },
]
contract = [{ name = "any", first_token_within = "10s", token_interval = "200ms", repeatable = true }]
tenant = [{ name = "callers", api_key = "relay-example-key", contract = "any" }]
[[configuration.model]]
name = "quiet"
performance = { step_time = "5ms", step_time_per_request = "1us" }
[[configuration.model]]
name = "load"
performance = { step_time = "56ms", step_time_per_request = "1us", batch_maximum = 120, kv_capacity_tokens = 2000000 }
"#;

/// Where a stream is asked for.
#[derive(Clone, Copy)]
enum Target {
    Engine(Address),
    Node(Address),
}

/// When the tokens of one stream reached their caller.
struct Stream {
    sent: Instant,
    tokens: Vec<Instant>,
}

/// Numbers requests and prompts, so that none is the same as another.
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

fn main() {
    let deployment: Deployment = toml::from_str(DEPLOYMENT).expect("a deployment");
    deployment.validate().expect("a valid deployment");
    let engines: Vec<EngineHandle> =
        deployment.configuration.engines.iter().map(|engine| start_engine(&deployment, engine)).collect();
    let platform_config = PlatformModelConfig {
        machine_list_lag: deployment.platform.machine_list_lag,
        ..PlatformModelConfig::default()
    };
    let platform = PlatformServer::start(platform_config, deployment.platform.address.0).expect("a platform");
    for machine in &deployment.machines {
        let zone = machine.zone.clone();
        platform.set_machine(MachineEntry { address: machine.peers_address, zone, leaving: false });
    }
    let nodes: Vec<NodeProcess> = deployment.machines.iter().map(|machine| start_node(machine, &deployment)).collect();
    put_in_force(&deployment).expect("the configuration in force");

    println!("load average: {}", fs::read_to_string("/proc/loadavg").unwrap_or_default().trim());
    print_quiet(&deployment);
    let (owner, other) = by_owner(&deployment, &nodes, "load");
    let load_engines: Vec<Target> = engine_targets(&deployment, "load");
    let nodes = [owner, other];
    println!(
        "\n| 240 streams | first token p50 / p95 / max ms | interval p50 / p95 ms | tokens/s | dispatcher: cores, KiB a stream | other node: cores, KiB a stream | listen overflows | failed |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    print_load("engines, directly", &load_engines, &nodes);
    print_load("dispatcher", &[Target::Node(owner.machine.callers_address)], &nodes);
    print_load("other node, one hop", &[Target::Node(other.machine.callers_address)], &nodes);
    let orders: usize = engines.iter().map(|engine| engine.history().orders().count()).sum();
    println!("\norders to engines during the run: {orders}");
}

/// One stream at a time, by all three ways in turn.
fn print_quiet(deployment: &Deployment) {
    let (owner, other) = owner_of(deployment, "quiet");
    let ways = [
        ("engine, directly", engine_targets(deployment, "quiet")[0]),
        ("dispatcher", Target::Node(owner.callers_address)),
        ("other node, one hop", Target::Node(other.callers_address)),
    ];
    let agents: Vec<Agent> = ways.iter().map(|_| agent()).collect();
    let mut streams: Vec<Vec<Stream>> = ways.iter().map(|_| Vec::new()).collect();
    let go_on = AtomicBool::new(true);
    wait_until_served(&ways.map(|(_, target)| target));
    for _ in 0..ROUNDS {
        for (index, (_, target)) in ways.iter().enumerate() {
            let stream = ask(&agents[index], *target, "quiet", QUIET_TOKENS, &go_on, &AtomicU64::new(0));
            streams[index].extend(stream);
        }
    }
    println!(
        "\n| one stream at a time | first token p50 / p95 ms | interval p50 / p95 ms | streams |\n|---|---|---|---|"
    );
    for ((name, _), streams) in ways.iter().zip(&streams) {
        let (first, intervals) = (first_tokens(streams), intervals(streams));
        println!(
            "| {name} | {:.2} / {:.2} | {:.2} / {:.2} | {} |",
            percentile(&first, 0.5),
            percentile(&first, 0.95),
            percentile(&intervals, 0.5),
            percentile(&intervals, 0.95),
            streams.len()
        );
    }
}

/// Asks by each way until it answers; a node has to hear from its engines first.
fn wait_until_served(ways: &[Target]) {
    let (until, go_on) = (Instant::now() + CALL_WITHIN, AtomicBool::new(true));
    let is_served = |target| ask(&agent(), target, "quiet", 1, &go_on, &AtomicU64::new(0)).is_some();
    for target in ways {
        while !is_served(*target) && Instant::now() < until {
            thread::sleep(Duration::from_millis(100));
        }
    }
}

/// All streams at once, spread over `targets`, with what the nodes use meanwhile.
fn print_load(name: &str, targets: &[Target], nodes: &[&NodeProcess; 2]) {
    let (go_on, tokens) = (AtomicBool::new(true), AtomicU64::new(0));
    let overflows_before = listen_overflows();
    let memory_before = nodes.map(NodeProcess::resident_kib);
    thread::scope(|scope| {
        let callers: Vec<_> = (0..STREAMS)
            .map(|index| {
                let (target, go_on, tokens) = (targets[index % targets.len()], &go_on, &tokens);
                scope.spawn(move || ask(&agent(), target, "load", LOAD_TOKENS, go_on, tokens))
            })
            .collect();
        wait_for_streams(&tokens);
        let memory = nodes.map(NodeProcess::resident_kib);
        let (cpu, counted, from) =
            (nodes.map(NodeProcess::cpu_seconds), tokens.load(Ordering::Relaxed), Instant::now());
        thread::sleep(LOAD_WINDOW);
        let took = from.elapsed().as_secs_f64();
        let rate = (tokens.load(Ordering::Relaxed) - counted) as f64 / took;
        let cores: Vec<f64> =
            nodes.iter().zip(cpu).map(|(node, before)| (node.cpu_seconds() - before) / took).collect();
        let grown: Vec<f64> =
            memory.iter().zip(memory_before).map(|(now, then)| (now - then) / STREAMS as f64).collect();
        go_on.store(false, Ordering::Relaxed);
        let streams: Vec<Stream> = callers.into_iter().filter_map(|caller| caller.join().expect("a caller")).collect();
        let (first, gaps) = (first_tokens(&streams), intervals(&streams));
        println!(
            "| {name} | {:.1} / {:.1} / {:.1} | {:.2} / {:.2} | {rate:.0} | {:.2}, {:.0} | {:.2}, {:.0} | {} | {} |",
            percentile(&first, 0.5),
            percentile(&first, 0.95),
            percentile(&first, 1.0),
            percentile(&gaps, 0.5),
            percentile(&gaps, 0.95),
            cores[0],
            grown[0],
            cores[1],
            grown[1],
            listen_overflows() - overflows_before,
            STREAMS - streams.len(),
        );
    });
    // The nodes and engines see the hang-ups before the next phase begins.
    thread::sleep(Duration::from_secs(1));
}

fn wait_for_streams(tokens: &AtomicU64) {
    let until = Instant::now() + STREAMS_BEGIN_WITHIN;
    while tokens.load(Ordering::Relaxed) < 5 * STREAMS as u64 && Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
    }
}

/// Reads a stream to its end, or until told to stop. `None` when it failed.
fn ask(
    agent: &Agent,
    target: Target,
    model: &str,
    max_tokens: u32,
    go_on: &AtomicBool,
    counted: &AtomicU64,
) -> Option<Stream> {
    let number = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
    let prompt: String = (0..PROMPT_WORDS).map(|word| format!("r{number}.{word} ")).collect();
    let sent = Instant::now();
    let response = match target {
        Target::Engine(address) => {
            let (request, model) = (format!("{number:032x}"), model.to_owned());
            let body =
                GenerateRequest { request, model, prompt, max_tokens, priority: 0, resume_from: 0, import: None };
            agent.post(format!("http://{address}/v1/generate")).send_json(body)
        }
        Target::Node(address) => {
            let body = json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true });
            agent.post(format!("http://{address}/v1/completions")).header("authorization", KEY).send_json(body)
        }
    };
    let response = response.inspect_err(|error| eprintln!("a stream failed: {error}"));
    let mut tokens = Vec::new();
    for line in BufReader::new(response.ok()?.into_body().into_reader()).lines() {
        let line = line.ok()?;
        if line.contains("\"error\"") {
            eprintln!("a stream failed: {line}");
            return None;
        }
        // An engine's line of JSON, or an event that holds one; each has one token.
        if line.starts_with('{') || line.starts_with("data: {") {
            tokens.push(Instant::now());
            counted.fetch_add(1, Ordering::Relaxed);
        }
        if !go_on.load(Ordering::Relaxed) {
            break;
        }
    }
    (!tokens.is_empty()).then_some(Stream { sent, tokens })
}

fn agent() -> Agent {
    Agent::config_builder().proxy(None).timeout_global(Some(CALL_WITHIN)).build().into()
}

fn first_tokens(streams: &[Stream]) -> Vec<f64> {
    sorted(streams.iter().map(|stream| stream.tokens[0] - stream.sent))
}

fn intervals(streams: &[Stream]) -> Vec<f64> {
    sorted(streams.iter().flat_map(|stream| stream.tokens.windows(2).map(|pair| pair[1] - pair[0])))
}

fn sorted(times: impl Iterator<Item = Duration>) -> Vec<f64> {
    let mut times: Vec<f64> = times.map(|time| time.as_secs_f64() * 1_000.0).collect();
    times.sort_by(f64::total_cmp);
    times
}

fn percentile(sorted: &[f64], share: f64) -> f64 {
    let index = (sorted.len() as f64 * share) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
}

fn engine_targets(deployment: &Deployment, model: &str) -> Vec<Target> {
    let engines = deployment.configuration.engines.iter().filter(|engine| engine.model.as_str() == model);
    engines.map(|engine| Target::Engine(engine.address)).collect()
}

/// The machine whose node dispatches for `model`, and the other one.
fn owner_of<'a>(deployment: &'a Deployment, model: &str) -> (&'a DeploymentMachine, &'a DeploymentMachine) {
    let [first, second] = &deployment.machines[..] else { panic!("two machines") };
    let until = Instant::now() + CALL_WITHIN;
    while Instant::now() < until {
        let owner = pool_owner(first, model);
        if owner.is_some() && owner == pool_owner(second, model) {
            return if owner == Some(first.peers_address) { (first, second) } else { (second, first) };
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("the nodes do not agree on an owner");
}

fn pool_owner(machine: &DeploymentMachine, model: &str) -> Option<Address> {
    let url = format!("http://{}/status", machine.operators_address);
    let status: StatusAnswer = agent().get(url).call().ok()?.body_mut().read_json().ok()?;
    status.pools.iter().find(|pool| pool.model.as_str() == model)?.owner
}

fn by_owner<'a>(deployment: &Deployment, nodes: &'a [NodeProcess], model: &str) -> (&'a NodeProcess, &'a NodeProcess) {
    let (owner, _) = owner_of(deployment, model);
    let is_owner = nodes[0].machine.peers_address == owner.peers_address;
    if is_owner { (&nodes[0], &nodes[1]) } else { (&nodes[1], &nodes[0]) }
}

/// A node's process, killed at the end.
struct NodeProcess {
    process: Child,
    machine: DeploymentMachine,
}

impl NodeProcess {
    fn cpu_seconds(&self) -> f64 {
        let stat = self.proc("stat");
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
        // User and system time are the 12th and 13th after the command's name.
        let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(f64::NAN);
        (ticks(11) + ticks(12)) / TICKS_PER_SECOND
    }

    fn resident_kib(&self) -> f64 {
        let status = self.proc("status");
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        resident.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(f64::NAN)
    }

    fn proc(&self, file: &str) -> String {
        fs::read_to_string(format!("/proc/{}/{file}", self.process.id())).unwrap_or_default()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Connections that the system dropped because a listener's backlog was full.
fn listen_overflows() -> u64 {
    let netstat = fs::read_to_string("/proc/net/netstat").unwrap_or_default();
    let mut lines = netstat.lines().filter(|line| line.starts_with("TcpExt:"));
    let (names, values) = (lines.next().unwrap_or_default(), lines.next().unwrap_or_default());
    let mut fields = names.split(' ').zip(values.split(' '));
    fields.find(|(name, _)| *name == "ListenOverflows").and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

fn start_engine(deployment: &Deployment, engine: &Engine) -> EngineHandle {
    let model = deployment.configuration.models.iter().find(|model| model.name == engine.model).expect("a model");
    let config = EngineModelConfig::for_engine(engine, model.version, model.performance);
    EngineServer::start(config, engine.address.0).expect("an engine")
}

fn start_node(machine: &DeploymentMachine, deployment: &Deployment) -> NodeProcess {
    let mut command = Command::new(binary());
    command.args(["node", "--log-level", "warn", "--zone", machine.zone.as_str()]);
    for (flag, address) in [
        ("--callers-address", machine.callers_address),
        ("--operators-address", machine.operators_address),
        ("--peers-address", machine.peers_address),
        ("--platform-address", deployment.platform.address),
        ("--seed", deployment.machines[0].peers_address),
    ] {
        command.args([flag, &address.to_string()]);
    }
    let process = command.stdin(Stdio::null()).spawn().expect("the havengate binary of the same build");
    NodeProcess { process, machine: machine.clone() }
}

/// The `havengate` binary beside the folder of this example.
fn binary() -> PathBuf {
    let example = std::env::current_exe().expect("a path");
    example.ancestors().nth(2).expect("the build's folder").join("havengate")
}
