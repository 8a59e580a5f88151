//! How the engine works on: steps, admission to the batch, and the ends of runs.

use havengate_core::request::{BLOCK_TOKENS, BlockHash};
use havengate_core::time::Timestamp;

use super::super::batch::{Phase, Sequence, Step, next_import, plan_step};
use super::super::history::{RunEnd, RunRecord};
use super::super::memory::Holding;
use super::super::work::{ExportId, ExportedKv, GenerateWork, OutputEvent, WorkKind};
use super::{EngineModel, Export};

impl EngineModel {
    pub(super) fn next_internal_event(&self) -> Option<Timestamp> {
        let step_ends = self.step.map(|step| step.ends());
        let import_ready = if self.step.is_none() { next_import(&self.batch) } else { None };
        let export_dropped = self.exports.iter().map(|export| export.until).min();
        [step_ends, import_ready, export_dropped, self.change_done].into_iter().flatten().min()
    }

    pub(super) fn work_until(&mut self, now: Timestamp) {
        while let Some(at) = self.next_internal_event().filter(|at| *at <= now) {
            if self.change_done.is_some_and(|done| done <= at) {
                self.change_done = None;
                self.arbiter.complete();
            }
            if self.drop_exports(at)
                && let Some(step) = &mut self.step
            {
                step.end_soon(at);
            }
            if let Some(step) = self.step.take_if(|step| step.ends() <= at) {
                self.end_step(step, at);
            }
            if self.step.is_none() {
                self.begin_step(at);
            }
            self.sample_load(at);
        }
    }

    /// Lets a change of the batch take effect: at the end of the step in progress, or at once when there is none.
    pub(super) fn interrupt(&mut self, now: Timestamp) {
        self.count_done_steps(now);
        match &mut self.step {
            Some(step) => step.end_soon(now),
            None => self.begin_step(now),
        }
    }

    /// Counts the tokens of those steps of a row that are done by `now`. No piece is due among them.
    pub(super) fn count_done_steps(&mut self, now: Timestamp) {
        let done = self.step.as_mut().map_or(0, |step| step.take_done(now));
        for sequence in self.batch.iter_mut().filter(|sequence| sequence.phase == Phase::Generating) {
            sequence.generate(done);
        }
    }

    fn begin_step(&mut self, now: Timestamp) {
        for sequence in &mut self.batch {
            sequence.end_import(now);
        }
        while self.admit_first(now) {}
        self.report_cache_change(now);
        self.step = plan_step(&mut self.batch, &self.config, now);
    }

    /// Takes the first waiting request into the batch, if there is room.
    fn admit_first(&mut self, now: Timestamp) -> bool {
        if self.batch.len() >= self.config.performance.batch_maximum as usize {
            return false;
        }
        let Some(first) = self.waiting.first_entry() else { return false };
        let work = first.get();
        let cached = match work.import {
            Some(_) => 0,
            None => self.memory.cached_prefix(reusable_blocks(work)),
        };
        let Some(holding) = self.memory.hold(&work.blocks[..cached], work.longest_tokens()) else { return false };
        let work = first.remove();
        let phase = match work.import {
            Some(import) => Phase::Importing { ready: now + self.config.performance.transfer_time(import.tokens) },
            None => Phase::Reading { left: work.context_tokens() - cached as u32 * BLOCK_TOKENS, in_step: 0 },
        };
        let run = self.history.start(RunRecord {
            request: work.request,
            kind: work.kind,
            first_block: work.blocks.first().copied(),
            incarnation: self.arbiter.report().incarnation,
            started_at: now,
            first_token: work.resume_from,
            tokens: 0,
            end: None,
        });
        self.started.insert(work.request);
        self.put_out(now, work.request, OutputEvent::Started);
        self.batch.push(Sequence::new(work, run, holding, phase));
        true
    }

    fn end_step(&mut self, step: Step, now: Timestamp) {
        let mut batch = std::mem::take(&mut self.batch);
        for sequence in &mut batch {
            self.end_step_of(sequence, step, now);
        }
        self.batch = batch;
        while let Some(finished) = self.batch.iter().position(Sequence::is_finished) {
            let sequence = self.batch.remove(finished);
            self.finish(sequence, now);
        }
    }

    fn end_step_of(&mut self, sequence: &mut Sequence, step: Step, now: Timestamp) {
        match &mut sequence.phase {
            Phase::Importing { .. } => return,
            Phase::Reading { left, in_step } if *in_step < *left => {
                *left -= *in_step;
                return;
            }
            Phase::Reading { .. } => {
                self.memory.store(&mut sequence.holding, &sequence.work.blocks);
                sequence.phase = Phase::Generating;
                if sequence.work.kind == WorkKind::Prefill {
                    return;
                }
                sequence.generate(1);
            }
            Phase::Generating => sequence.generate(step.repeats),
        }
        if let Some(piece) = sequence.take_piece(self.config.piece_tokens) {
            self.put_out(now, sequence.work.request, piece);
        }
    }

    fn finish(&mut self, mut sequence: Sequence, now: Timestamp) {
        if sequence.work.kind == WorkKind::Prefill {
            let holding = std::mem::take(&mut sequence.holding);
            self.export(&sequence.work, holding, now);
        }
        self.end_run(sequence, RunEnd::Finished, now);
    }

    fn export(&mut self, work: &GenerateWork, holding: Holding, now: Timestamp) {
        self.next_export += 1;
        let kv = ExportedKv { id: ExportId(self.next_export), tokens: work.context_tokens() };
        let until = now + self.config.export_retention;
        self.exports.push(Export { kv, holding, until, claimed: false });
        self.put_out(now, work.request, OutputEvent::PrefillDone(kv));
    }

    /// Drops the exports that are due; true when it frees memory.
    fn drop_exports(&mut self, now: Timestamp) -> bool {
        let before = self.exports.len();
        while let Some(position) = self.exports.iter().position(|export| export.until <= now) {
            let export = self.exports.swap_remove(position);
            self.memory.release(export.holding);
        }
        self.exports.len() < before
    }

    pub(super) fn end_run(&mut self, sequence: Sequence, end: RunEnd, now: Timestamp) {
        self.history.end(sequence.run, sequence.own_tokens(), end, now);
        self.memory.release(sequence.holding);
    }
}

/// The blocks that may come from the cache: the prompt's last token is always read, since the first token of the answer
/// comes out of reading it.
fn reusable_blocks(work: &GenerateWork) -> &[BlockHash] {
    let reusable = (work.prompt_tokens.saturating_sub(1) / BLOCK_TOKENS) as usize;
    &work.blocks[..reusable.min(work.blocks.len())]
}
