//! The deployment: one region, three zones with a node each, one model on four engines.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

use havengate_rehearsal::deployment::Deployment;

/// Ports are taken from here on, below those that the system gives to clients.
const FIRST_PORT: u16 = 24_000;

/// Test runs of one machine begin at different ports, this many steps apart at most.
const PORT_STEPS: u32 = 100;
const PORT_STEP: u16 = 64;

const ZONES: [&str; 3] = ["patan", "thamel", "kirtipur"];
const ENGINES: usize = 4;

const CONFIGURATION: &str = r#"
[[configuration.model]]
name = "lekh-model"
prefill_floor = 1
decode_floor = 1
performance = { step_time = "20ms", role_change = "1s" }

[[configuration.contract]]
name = "verdict"
first_token_within = "10s"
token_interval = "200ms"
repeatable = true

[[configuration.contract]]
name = "ticket"
first_token_within = "10s"
token_interval = "200ms"
repeatable = false

[[configuration.tenant]]
name = "publishers"
api_key = "publishers-example-key"
contract = "verdict"

[[configuration.tenant]]
name = "press-floor"
api_key = "press-floor-example-key"
contract = "ticket"
"#;

/// A valid deployment on loopback ports that were free a moment ago.
pub fn deployment() -> Deployment {
    let mut ports = FreePorts::new();
    let mut text = format!("name = \"processes\"\nclient_latency = \"0s\"\n{}", platform(&mut ports));
    for zone in ZONES {
        text.push_str(&machine(zone, &mut ports));
    }
    text.push_str("[configuration]\nzone = [\n");
    for zone in ZONES {
        text.push_str(&format!("    {{ name = \"{zone}\", region = \"kathmandu-valley\" }},\n"));
    }
    text.push_str("]\nengine = [\n");
    for index in 0..ENGINES {
        text.push_str(&engine(index, &mut ports));
    }
    text.push_str("]\n");
    text.push_str(CONFIGURATION);
    let deployment: Deployment = toml::from_str(&text).expect("a deployment");
    deployment.validate().expect("a valid deployment");
    deployment
}

fn platform(ports: &mut FreePorts) -> String {
    let address = ports.take();
    format!("[platform]\naddress = \"{address}\"\ncall_latency = \"2ms\"\nmachine_list_lag = \"500ms\"\n")
}

fn machine(zone: &str, ports: &mut FreePorts) -> String {
    let [callers, operators, peers] = [ports.take(), ports.take(), ports.take()];
    format!(
        "[[machine]]\nzone = \"{zone}\"\ncallers_address = \"{callers}\"\noperators_address = \"{operators}\"\n\
         peers_address = \"{peers}\"\n"
    )
}

fn engine(index: usize, ports: &mut FreePorts) -> String {
    let (zone, address) = (ZONES[index % ZONES.len()], ports.take());
    format!(
        "    {{ name = \"lekh-model-{index}\", address = \"{address}\", zone = \"{zone}\", model = \"lekh-model\" }},\n"
    )
}

/// Looks for ports that are free on TCP and UDP.
struct FreePorts {
    next: u16,
}

impl FreePorts {
    fn new() -> Self {
        let step = std::process::id() % PORT_STEPS;
        FreePorts { next: FIRST_PORT + step as u16 * PORT_STEP }
    }

    fn take(&mut self) -> SocketAddr {
        loop {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            self.next += 1;
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return address;
            }
        }
    }
}
