//! Measures the processor time of a dispatcher by the number of engines and open streams, and that of a gateway's
//! choice of a pool by the number of pools.
//!
//! `cargo run --release -p havengate-core --example dispatch_cost`

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use havengate_core::dispatch::{
    AttemptOutcome, DispatchAction, DispatchConfig, Dispatcher, EngineAvailability, EngineEvent, EngineSlot,
};
use havengate_core::gateway::{GatewayConfig, PoolOption, PoolPicker};
use havengate_core::membership::{Incarnation, Member};
use havengate_core::policy::TrialSplitter;
use havengate_core::request::{BlockHash, RequestId, RequestProfile};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, EngineName, EnginePerformance, EngineRole, PoolId};

/// Tokens of an answer, and the time between two of them, at the size that the system is designed for.
const ANSWER_TOKENS: u32 = 333;
const TOKEN_INTERVAL: Duration = Duration::from_millis(56);

/// Virtual time of the ramp-up to a steady number of streams, and of the measurement after it.
const RAMP_UP: Duration = Duration::from_secs(20);
const MEASURED: Duration = Duration::from_secs(60);

fn main() -> Result<(), Box<dyn Error>> {
    println!("engines  streams  requests/s  us a request  ns a progress event  % of a core");
    for (engines, per_second) in [(6, 6.4), (12, 12.7), (24, 25.4)] {
        let cost = Run::new(engines)?.measure(per_second);
        println!(
            "{engines:7}  {:7}  {per_second:10}  {:12.1}  {:19.0}  {:11.3}",
            cost.streams,
            cost.request_micros(),
            cost.progress_nanos(),
            cost.percent_of_core()
        );
    }
    println!("pools  us a choice of pool");
    for pools in [16, 64, 345] {
        println!("{pools:5}  {:19.1}", choice_micros(pools));
    }
    Ok(())
}

struct Cost {
    streams: usize,
    requests: u32,
    progress: u32,
    on_requests: Duration,
    on_progress: Duration,
}

impl Cost {
    fn request_micros(&self) -> f64 {
        self.on_requests.as_secs_f64() * 1e6 / f64::from(self.requests.max(1))
    }

    fn progress_nanos(&self) -> f64 {
        self.on_progress.as_secs_f64() * 1e9 / f64::from(self.progress.max(1))
    }

    fn percent_of_core(&self) -> f64 {
        100.0 * (self.on_requests + self.on_progress).as_secs_f64() / MEASURED.as_secs_f64()
    }
}

/// Scheduled tokens: their time and request, and the index of the token within the answer.
type Events = BTreeMap<(Timestamp, RequestId), u32>;

struct Run {
    dispatcher: Dispatcher,
    events: Events,
    cost: Cost,
}

impl Run {
    fn new(engines: u16) -> Result<Self, Box<dyn Error>> {
        let placement = TrialSplitter::new(&[], 1)?;
        let mut dispatcher = Dispatcher::new(DispatchConfig::default(), Box::new(placement));
        dispatcher.set_engines((0..engines).map(slot).collect());
        let cost =
            Cost { streams: 0, requests: 0, progress: 0, on_requests: Duration::ZERO, on_progress: Duration::ZERO };
        Ok(Run { dispatcher, events: Events::new(), cost })
    }

    fn measure(mut self, per_second: f64) -> Cost {
        let gap = Duration::from_secs_f64(1.0 / per_second);
        let end = Timestamp::ZERO + RAMP_UP + MEASURED;
        let mut arrival = Timestamp::ZERO;
        let mut number = 0;
        let mut measuring = false;
        while arrival < end {
            self.tokens_until(arrival);
            if !measuring && arrival >= Timestamp::ZERO + RAMP_UP {
                measuring = true;
                self.start_measuring();
            }
            self.request(number, arrival);
            number += 1;
            arrival = arrival + gap;
        }
        self.cost
    }

    /// Discards the cost of the ramp-up.
    fn start_measuring(&mut self) {
        self.cost = Cost {
            streams: self.events.len(),
            requests: 0,
            progress: 0,
            on_requests: Duration::ZERO,
            on_progress: Duration::ZERO,
        };
    }

    fn request(&mut self, number: u128, now: Timestamp) {
        let profile = profile(number);
        let started = Instant::now();
        // Refusals count too, since they are part of a dispatcher's work.
        let _ = self.dispatcher.submit(profile, now);
        self.poll(now);
        self.cost.on_requests += started.elapsed();
        self.cost.requests += 1;
    }

    fn poll(&mut self, now: Timestamp) {
        for action in self.dispatcher.poll(now) {
            if let DispatchAction::Start { request, .. } = action {
                self.events.insert((now + TOKEN_INTERVAL, request), 0);
            }
        }
    }

    fn tokens_until(&mut self, until: Timestamp) {
        while let Some(((now, request), token)) = self.events.pop_first() {
            if now > until {
                self.events.insert((now, request), token);
                return;
            }
            self.token(request, token, now);
        }
    }

    fn token(&mut self, request: RequestId, token: u32, now: Timestamp) {
        let started = Instant::now();
        if token == 0 {
            self.dispatcher.step(EngineEvent::FirstToken { request }, now);
        }
        self.dispatcher.step(EngineEvent::Progress { request, tokens: 1 }, now);
        self.cost.on_progress += started.elapsed();
        self.cost.progress += 1;
        if token + 1 < ANSWER_TOKENS {
            self.events.insert((now + TOKEN_INTERVAL, request), token + 1);
            return;
        }
        let started = Instant::now();
        self.dispatcher.step(EngineEvent::Ended { request, outcome: AttemptOutcome::Completed }, now);
        self.poll(now);
        self.cost.on_requests += started.elapsed();
    }
}

fn slot(number: u16) -> EngineSlot {
    EngineSlot {
        name: EngineName::new(format!("engine-{number:02}")),
        role: EngineRole::Mixed,
        availability: EngineAvailability::Serving,
        link_latency: Duration::from_micros(200),
        performance: EnginePerformance::default(),
    }
}

fn profile(number: u128) -> RequestProfile {
    let blocks = (0..8).map(|block| BlockHash(block + (number as u64 % 16) * 100)).collect();
    RequestProfile {
        id: RequestId(number),
        tenant: "tenant".into(),
        contract: "standard".into(),
        model: "model".into(),
        prompt_tokens: 1_024,
        max_output_tokens: ANSWER_TOKENS,
        blocks,
        key: None,
        time_left: Duration::from_secs(60),
        priority: 4,
    }
}

/// Mean time of one choice among `pools` pools of a model, in microseconds.
fn choice_micros(pools: u16) -> f64 {
    const CHOICES: u32 = 20_000;
    let options: Vec<PoolOption> = (0..pools).map(option).collect();
    let mut picker = PoolPicker::new(GatewayConfig::default(), 1);
    let started = Instant::now();
    for number in 0..CHOICES {
        let now = Timestamp::from_millis(u64::from(number));
        std::hint::black_box(picker.rank(&profile(u128::from(number)), &options, now));
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(CHOICES)
}

fn option(number: u16) -> PoolOption {
    let [high, low] = number.to_be_bytes();
    let address = Address(SocketAddr::from(([10, 0, high, low], 7_000)));
    PoolOption {
        pool: PoolId { model: "model".into(), region: "region".into(), zone: None, shard: number },
        latency: Duration::from_millis(u64::from(number % 11)),
        engines: 12,
        performance: EnginePerformance::default(),
        dispatchers: vec![Member { address, incarnation: Incarnation(1) }],
    }
}
