//! How fast the engine model is: one hour of 21 engines with a few hundred thousand requests.
//!
//! `cargo run --release -p havengate-rehearsal --example engine_model_speed`

use std::time::{Duration, Instant};

use havengate_core::request::{BLOCK_TOKENS, BlockHash, RequestId};
use havengate_core::time::Timestamp;
use havengate_core::world::{EnginePerformance, ModelName};
use havengate_rehearsal::engine::model::{EngineModel, EngineModelConfig, GenerateWork, WorkKind};

const ENGINES: u64 = 21;
const HOUR: Duration = Duration::from_secs(3_600);
const REQUESTS_PER_ENGINE: u64 = 15_000;
const LONGEST_PROMPT: u32 = 6_000;
const LONGEST_ANSWER: u32 = 120;
const PROMPT_TEXTS: u64 = 400;

fn main() {
    for piece_tokens in [1, 16, u32::MAX] {
        let began = Instant::now();
        let mut outputs = 0;
        let mut finished = 0;
        for seed in 0..ENGINES {
            let mut engine = engine(piece_tokens, seed);
            outputs += drive(&mut engine, seed);
            finished += engine.history().runs().filter(|run| run.end.is_some()).count();
        }
        let took = began.elapsed();
        let simulated = HOUR.as_secs_f64() * ENGINES as f64;
        println!(
            "piece_tokens={piece_tokens} engines={ENGINES} simulated_seconds={simulated} requests_run={finished} \
             outputs={outputs} took_seconds={:.2} engine_seconds_per_second={:.0}",
            took.as_secs_f64(),
            simulated / took.as_secs_f64(),
        );
    }
}

fn engine(piece_tokens: u32, seed: u64) -> EngineModel {
    let model = ModelName::from("lekh-model");
    let config =
        EngineModelConfig { piece_tokens, seed, ..EngineModelConfig::new(model, EnginePerformance::default()) };
    EngineModel::new(config, Timestamp::ZERO).expect("the settings are valid")
}

/// Hands the engine its requests over the hour; returns how many outputs it put out.
fn drive(engine: &mut EngineModel, seed: u64) -> usize {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut arrivals: Vec<u64> = (0..REQUESTS_PER_ENGINE).map(|_| random.u64(0..HOUR.as_micros() as u64)).collect();
    arrivals.sort_unstable();
    let mut outputs = 0;
    for (number, at) in arrivals.into_iter().enumerate() {
        let now = Timestamp::from_micros(at);
        outputs += run_until(engine, now);
        // A full queue refuses; the count of requests that ran is printed.
        let _ = engine.submit(work(u128::from(seed) << 64 | number as u128, &mut random), now);
    }
    outputs + run_until(engine, Timestamp::ZERO + HOUR)
}

fn run_until(engine: &mut EngineModel, until: Timestamp) -> usize {
    let mut outputs = 0;
    while let Some(at) = engine.next_event().filter(|at| *at <= until) {
        outputs += engine.advance(at).len();
    }
    outputs
}

fn work(id: u128, random: &mut fastrand::Rng) -> GenerateWork {
    let prompt_tokens = random.u32(50..LONGEST_PROMPT);
    let answer_tokens = random.u32(5..LONGEST_ANSWER);
    let text = random.u64(0..PROMPT_TEXTS);
    GenerateWork {
        request: RequestId(id),
        model: ModelName::from("lekh-model"),
        kind: WorkKind::Generate,
        prompt_tokens,
        blocks: (0..prompt_tokens / BLOCK_TOKENS).map(|block| BlockHash(text << 32 | u64::from(block))).collect(),
        max_tokens: LONGEST_ANSWER,
        answer_tokens,
        priority: random.u8(0..4),
        resume_from: 0,
        import: None,
    }
}
