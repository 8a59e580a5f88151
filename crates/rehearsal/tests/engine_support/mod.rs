//! What the tests of the engine model share.

#![allow(dead_code)]

use std::collections::BTreeMap;

use havengate_core::request::{BLOCK_TOKENS, BlockHash, FinishReason, RequestId};
use havengate_core::time::Timestamp;
use havengate_core::world::{EnginePerformance, ModelName};
use havengate_rehearsal::engine::model::{
    EngineModel, EngineModelConfig, EngineOutput, GenerateWork, OutputEvent, WorkKind,
};

/// The model that the tests' engines serve.
pub const MODEL: &str = "lekh-model";

/// Settings of an engine with default performance.
pub fn config() -> EngineModelConfig {
    EngineModelConfig::new(ModelName::from(MODEL), EnginePerformance::default())
}

/// An engine at time zero.
pub fn engine(config: EngineModelConfig) -> EngineModel {
    EngineModel::new(config, Timestamp::ZERO).expect("the settings are valid")
}

/// A request for a whole answer. Requests with the same `text` have the same prompt.
pub fn work(id: u128, text: u64, prompt_tokens: u32, answer_tokens: u32) -> GenerateWork {
    GenerateWork {
        request: RequestId(id),
        model: ModelName::from(MODEL),
        kind: WorkKind::Generate,
        prompt_tokens,
        blocks: chain(text, prompt_tokens / BLOCK_TOKENS),
        max_tokens: answer_tokens + 10,
        answer_tokens,
        priority: 4,
        resume_from: 0,
        import: None,
    }
}

/// A chain of block hashes.
pub fn chain(text: u64, blocks: u32) -> Vec<BlockHash> {
    let mut parent = None;
    let extend = |block: u32| {
        let hash = BlockHash::chain(parent, &[text.to_le_bytes(), u64::from(block).to_le_bytes()].concat());
        parent = Some(hash);
        hash
    };
    (0..blocks).map(extend).collect()
}

/// Lets the engine work until nothing is left to do.
pub fn run_to_end(engine: &mut EngineModel) -> Vec<EngineOutput> {
    let mut outputs = Vec::new();
    while let Some(at) = engine.next_event() {
        outputs.extend(engine.advance(at));
    }
    outputs
}

/// When the first token of `request` came.
pub fn first_token_at(outputs: &[EngineOutput], request: u128) -> Option<Timestamp> {
    let is_token = |output: &&EngineOutput| {
        output.request == RequestId(request) && matches!(output.event, OutputEvent::Tokens { .. })
    };
    outputs.iter().find(is_token).map(|output| output.at)
}

/// What an observer knows of one request at one engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observed {
    pub started: bool,
    pub next_token: Option<u32>,
    pub finish: Option<FinishReason>,
    pub ended: bool,
}

/// Follows the outputs of one engine and fails on one that breaks the contract of a request's answer.
#[derive(Debug, Default)]
pub struct Observer {
    pub requests: BTreeMap<RequestId, Observed>,
    last: Timestamp,
}

impl Observer {
    /// Takes in an output of a request that began at token `resume_from`.
    pub fn observe(&mut self, output: EngineOutput, resume_from: u32) {
        assert!(output.at >= self.last, "outputs go back in time: {output:?}");
        self.last = output.at;
        let observed = self.requests.entry(output.request).or_default();
        assert!(!observed.ended, "output after the end: {output:?}");
        match output.event {
            OutputEvent::Started => {
                assert!(!observed.started, "started twice: {output:?}");
                observed.started = true;
            }
            OutputEvent::Refused(_) => {
                assert!(!observed.started, "refused after the start: {output:?}");
                observed.ended = true;
            }
            OutputEvent::Tokens { first_token, tokens, finish } => {
                assert!(observed.started, "tokens before the start: {output:?}");
                assert_eq!(first_token, observed.next_token.unwrap_or(resume_from), "tokens out of order: {output:?}");
                observed.next_token = Some(first_token + tokens);
                observed.finish = finish;
                observed.ended = finish.is_some();
            }
            OutputEvent::PrefillDone(_) | OutputEvent::Cancelled | OutputEvent::Cut => {
                assert!(observed.started, "ended before the start: {output:?}");
                observed.ended = true;
            }
        }
    }
}
