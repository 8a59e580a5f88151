//! A simulated engine with continuous batching and chunked prefill between generation steps.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use havengate_core::request::RequestId;
use havengate_core::world::EnginePerformance;

const PIECE_TOKENS: u32 = 2_000;

/// The stage of a request that was placed on an engine.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    pub request: RequestId,
    pub attempt: u32,
    pub prompt_tokens_left: u32,
    pub kv_tokens: u32,
    pub prefill_only: bool,
    pub tokens_left: u32,
}

/// A result of an engine step.
#[derive(Clone, Copy, Debug)]
pub enum StepResult {
    PrefillDone(Task),
    FirstToken(Task),
    Token { task: Task, last: bool },
}

#[derive(Debug, Default)]
struct Plan {
    prefills: Option<(RequestId, u32)>,
    generates: Vec<RequestId>,
}

#[derive(Debug)]
pub struct SimulatedEngine {
    pub performance: EnginePerformance,
    pub slowdown: f64,
    pub down: bool,
    /// Counts crashes, so that a step that began before a crash is ignored.
    pub incarnation: u32,
    pub stepping: bool,
    /// The work of the step in progress; tasks that arrive during it wait for the next step.
    plan: Plan,
    prefill_queue: VecDeque<Task>,
    generating: BTreeMap<RequestId, Task>,
    /// KV tokens of prompts that were prefilled for other engines and have not moved yet.
    exported: BTreeMap<RequestId, u32>,
    /// Requests that hold a batch slot here while another engine prefills their prompt.
    pub expected: BTreeMap<RequestId, Task>,
}

impl SimulatedEngine {
    pub fn new(performance: EnginePerformance) -> Self {
        SimulatedEngine {
            performance,
            slowdown: 1.0,
            down: false,
            incarnation: 0,
            stepping: false,
            plan: Plan::default(),
            prefill_queue: VecDeque::new(),
            generating: BTreeMap::new(),
            exported: BTreeMap::new(),
            expected: BTreeMap::new(),
        }
    }

    pub fn accept(&mut self, task: Task) {
        if task.prompt_tokens_left > 0 {
            self.prefill_queue.push_back(task);
        } else {
            self.expected.remove(&task.request);
            self.generating.insert(task.request, task);
        }
        self.check_limits();
    }

    pub fn check_limits(&self) {
        let tasks = self.prefill_queue.iter().chain(self.generating.values()).chain(self.expected.values());
        let kv: u32 = tasks.clone().map(|task| task.kv_tokens).sum::<u32>() + self.exported.values().sum::<u32>();
        let requests = tasks.count() + self.exported.len();
        assert!(kv <= self.performance.kv_capacity_tokens, "{kv} KV tokens on one engine");
        assert!(requests <= self.performance.batch_maximum as usize, "{requests} requests on one engine");
    }

    pub fn release_export(&mut self, request: RequestId) {
        self.exported.remove(&request);
    }

    pub fn contains(&self, request: RequestId) -> bool {
        self.generating.contains_key(&request) || self.prefill_queue.iter().any(|task| task.request == request)
    }

    pub fn remove(&mut self, request: RequestId) -> bool {
        let was_present =
            self.contains(request) || self.exported.contains_key(&request) || self.expected.contains_key(&request);
        self.prefill_queue.retain(|task| task.request != request);
        self.generating.remove(&request);
        self.exported.remove(&request);
        self.expected.remove(&request);
        was_present
    }

    pub fn crash(&mut self) -> Vec<Task> {
        self.incarnation += 1;
        self.stepping = false;
        self.exported.clear();
        let mut lost: Vec<Task> = self.prefill_queue.drain(..).collect();
        lost.extend(std::mem::take(&mut self.generating).into_values());
        lost.extend(std::mem::take(&mut self.expected).into_values());
        lost
    }

    /// Plans the next step; returns its duration, or `None` if there is no work.
    pub fn plan_step(&mut self) -> Option<Duration> {
        let prefills = self.prefill_queue.front().map(|task| (task.request, task.prompt_tokens_left.min(PIECE_TOKENS)));
        self.plan = Plan { prefills, generates: self.generating.keys().copied().collect() };
        let generation = match self.plan.generates.len() {
            0 if prefills.is_none() => return None,
            0 => Duration::ZERO,
            requests => self.performance.step_time_of(requests as u32),
        };
        let piece = prefills.map_or(0, |(_, tokens)| tokens);
        Some((generation + self.performance.prefill_time(piece)).mul_f64(self.slowdown))
    }

    pub fn finish_step(&mut self) -> Vec<StepResult> {
        let mut results = Vec::new();
        let plan = std::mem::take(&mut self.plan);
        for request in plan.generates {
            if let Some(task) = self.generating.get_mut(&request) {
                task.tokens_left -= 1;
                results.push(StepResult::Token { task: *task, last: task.tokens_left == 0 });
            }
        }
        self.generating.retain(|_, task| task.tokens_left > 0);
        if let Some(first) = self.prefill_queue.front_mut()
            && let Some((_, piece)) = plan.prefills.filter(|(request, _)| *request == first.request)
        {
            first.prompt_tokens_left -= piece;
            if first.prompt_tokens_left == 0 {
                results.extend(self.finish_prefill());
            }
        }
        results
    }

    fn finish_prefill(&mut self) -> Option<StepResult> {
        let task = self.prefill_queue.pop_front()?;
        if task.prefill_only {
            self.exported.insert(task.request, task.kv_tokens);
            return Some(StepResult::PrefillDone(task));
        }
        self.generating.insert(task.request, task);
        Some(StepResult::FirstToken(task))
    }
}
