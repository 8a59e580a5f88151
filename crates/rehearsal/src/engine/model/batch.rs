//! The requests that run together, and the steps that they take.

use std::time::Duration;

use havengate_core::request::FinishReason;
use havengate_core::time::Timestamp;
use havengate_core::world::EnginePerformance;

use super::config::EngineModelConfig;
use super::history::RunIndex;
use super::memory::Holding;
use super::work::{GenerateWork, OutputEvent, WorkKind};

/// How far a running request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Its KV cache arrives from another engine.
    Importing {
        /// When all of it is here.
        ready: Timestamp,
    },
    /// Its prompt is being read.
    Reading {
        /// Tokens not yet read.
        left: u32,
        /// Tokens of them that the present step reads.
        in_step: u32,
    },
    /// It generates one token a step.
    Generating,
}

/// A request that runs.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) work: GenerateWork,
    pub(super) run: RunIndex,
    pub(super) holding: Holding,
    pub(super) phase: Phase,
    /// Tokens of the answer that exist.
    pub(super) generated: u32,
    /// Tokens of the answer that have been put out.
    put_out: u32,
}

impl Sequence {
    pub(super) fn new(work: GenerateWork, run: RunIndex, holding: Holding, phase: Phase) -> Self {
        Sequence { run, holding, phase, generated: work.resume_from, put_out: work.resume_from, work }
    }

    /// Tokens that this run has generated.
    pub(super) fn own_tokens(&self) -> u32 {
        self.generated - self.work.resume_from
    }

    /// Whether the answer, or the prefill, is whole.
    pub(super) fn is_finished(&self) -> bool {
        self.phase == Phase::Generating
            && (self.work.kind == WorkKind::Prefill || self.generated >= self.work.answer_tokens)
    }

    /// Leaves the import behind when its KV cache is here.
    pub(super) fn end_import(&mut self, now: Timestamp) {
        let Phase::Importing { ready } = self.phase else { return };
        if ready > now {
            return;
        }
        let covered = self.work.import.map_or(0, |import| import.tokens);
        self.phase = match self.work.context_tokens().saturating_sub(covered) {
            0 => Phase::Generating,
            left => Phase::Reading { left, in_step: 0 },
        };
    }

    /// Generates up to `tokens` tokens.
    pub(super) fn generate(&mut self, tokens: u32) {
        let left = self.work.answer_tokens.saturating_sub(self.generated);
        self.generated += tokens.min(left);
    }

    /// The piece that is due, if any. The first token and the end are due at once.
    pub(super) fn take_piece(&mut self, piece_tokens: u32) -> Option<OutputEvent> {
        let tokens = self.generated - self.put_out;
        let is_first = self.put_out == self.work.resume_from && tokens > 0;
        let is_last = self.is_finished();
        if !is_first && !is_last && tokens < piece_tokens {
            return None;
        }
        let first_token = self.put_out;
        self.put_out = self.generated;
        Some(OutputEvent::Tokens { first_token, tokens, finish: is_last.then(|| self.finish_reason()) })
    }

    /// Steps until a piece is due; 0 when the sequence does not generate.
    fn steps_to_piece(&self, piece_tokens: u32) -> u32 {
        if self.put_out == self.work.resume_from {
            return 1;
        }
        let to_piece = piece_tokens.saturating_sub(self.generated - self.put_out);
        let to_end = self.work.answer_tokens.saturating_sub(self.generated);
        to_piece.min(to_end).max(1)
    }

    fn finish_reason(&self) -> FinishReason {
        if self.work.answer_tokens >= self.work.max_tokens { FinishReason::Length } else { FinishReason::Stop }
    }
}

/// One or more equal steps in a row, during which nothing is due.
#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    began: Timestamp,
    /// The time of one step.
    duration: Duration,
    /// How many of them.
    pub(super) repeats: u32,
}

impl Step {
    /// When the last of the steps is done.
    pub(super) fn ends(&self) -> Timestamp {
        self.began + self.duration * self.repeats
    }

    /// Takes the steps off the row that are done by `now`; returns how many.
    pub(super) fn take_done(&mut self, now: Timestamp) -> u32 {
        let elapsed = now.since(self.began).as_micros();
        let done = u32::try_from(elapsed / self.duration.as_micros().max(1)).unwrap_or(u32::MAX);
        let done = done.min(self.repeats - 1);
        self.began = self.began + self.duration * done;
        self.repeats -= done;
        done
    }

    /// Ends the row with the step that is in progress at `now`, so that the batch can change.
    pub(super) fn end_soon(&mut self, now: Timestamp) {
        let elapsed = now.since(self.began).as_micros();
        let begun = elapsed.div_ceil(self.duration.as_micros().max(1)).max(1);
        self.repeats = self.repeats.min(u32::try_from(begun).unwrap_or(u32::MAX));
    }
}

/// The next steps of `batch`; `None` when nothing in it can go on. Shares out the prompt work of the step.
pub(super) fn plan_step(batch: &mut [Sequence], config: &EngineModelConfig, now: Timestamp) -> Option<Step> {
    let reads = share_out_reading(batch, config.chunk_tokens);
    let generating = || batch.iter().filter(|sequence| sequence.phase == Phase::Generating);
    let count = generating().count() as u32;
    if reads == 0 && count == 0 {
        return None;
    }
    let repeats = generating().map(|sequence| sequence.steps_to_piece(config.piece_tokens)).min().unwrap_or(1);
    let duration = step_duration(&config.performance, reads, count);
    let mut step = Step { began: now, duration, repeats: if reads > 0 { 1 } else { repeats } };
    if let Some(ready) = next_import(batch) {
        step.end_soon(ready);
    }
    Some(step)
}

/// When the next KV cache has arrived.
pub(super) fn next_import(batch: &[Sequence]) -> Option<Timestamp> {
    let ready = |sequence: &Sequence| match sequence.phase {
        Phase::Importing { ready } => Some(ready),
        _ => None,
    };
    batch.iter().filter_map(ready).min()
}

/// Gives each reading sequence its part of the step's prompt tokens, the one that came first first.
fn share_out_reading(batch: &mut [Sequence], chunk_tokens: u32) -> u32 {
    let mut budget = chunk_tokens;
    for sequence in batch {
        if let Phase::Reading { left, in_step } = &mut sequence.phase {
            *in_step = (*left).min(budget);
            budget -= *in_step;
        }
    }
    chunk_tokens - budget
}

fn step_duration(performance: &EnginePerformance, reads: u32, generating: u32) -> Duration {
    let generation = if generating == 0 { Duration::ZERO } else { performance.step_time_of(generating) };
    performance.prefill_time(reads) + generation
}
