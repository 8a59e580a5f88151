//! A simulated engine: continuous batching, prompts read in pieces between generation steps.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use havengate_core::request::RequestId;
use havengate_core::world::EnginePerformance;

const PIECE_TOKENS: u32 = 2_000;

/// What an engine has been given of a request.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    pub request: RequestId,
    pub attempt: u32,
    pub unread: u32,
    pub kv_tokens: u32,
    pub prefill_only: bool,
    pub tokens_left: u32,
}

/// What a step of the engine brought about.
#[derive(Clone, Copy, Debug)]
pub enum StepResult {
    PromptRead(Task),
    FirstToken(Task),
    Token { task: Task, last: bool },
}

#[derive(Debug, Default)]
struct Plan {
    reads: Option<(RequestId, u32)>,
    generates: Vec<RequestId>,
}

#[derive(Debug)]
pub struct SimulatedEngine {
    pub performance: EnginePerformance,
    pub slowdown: f64,
    pub down: bool,
    /// Counts crashes, so that a step that began before one is void.
    pub life: u32,
    pub stepping: bool,
    /// What the step in progress does; what comes in the middle of it waits for the next.
    plan: Plan,
    unread: VecDeque<Task>,
    generating: BTreeMap<RequestId, Task>,
    /// KV caches that were read for other engines and have not moved yet.
    exported: BTreeMap<RequestId, u32>,
    /// Places that are taken by requests whose prompt another engine reads.
    pub expected: BTreeMap<RequestId, Task>,
}

impl SimulatedEngine {
    pub fn new(performance: EnginePerformance) -> Self {
        SimulatedEngine {
            performance,
            slowdown: 1.0,
            down: false,
            life: 0,
            stepping: false,
            plan: Plan::default(),
            unread: VecDeque::new(),
            generating: BTreeMap::new(),
            exported: BTreeMap::new(),
            expected: BTreeMap::new(),
        }
    }

    pub fn accept(&mut self, task: Task) {
        if task.unread > 0 {
            self.unread.push_back(task);
        } else {
            self.expected.remove(&task.request);
            self.generating.insert(task.request, task);
        }
        self.check_limits();
    }

    pub fn check_limits(&self) {
        let tasks = self.unread.iter().chain(self.generating.values()).chain(self.expected.values());
        let kv: u32 = tasks.clone().map(|task| task.kv_tokens).sum::<u32>() + self.exported.values().sum::<u32>();
        let requests = tasks.count() + self.exported.len();
        assert!(kv <= self.performance.kv_capacity_tokens, "{kv} KV tokens on one engine");
        assert!(requests <= self.performance.batch_maximum as usize, "{requests} requests on one engine");
    }

    pub fn release_export(&mut self, request: RequestId) {
        self.exported.remove(&request);
    }

    pub fn has(&self, request: RequestId) -> bool {
        self.generating.contains_key(&request) || self.unread.iter().any(|task| task.request == request)
    }

    pub fn remove(&mut self, request: RequestId) -> bool {
        let had = self.has(request) || self.exported.contains_key(&request) || self.expected.contains_key(&request);
        self.unread.retain(|task| task.request != request);
        self.generating.remove(&request);
        self.exported.remove(&request);
        self.expected.remove(&request);
        had
    }

    pub fn crash(&mut self) -> Vec<Task> {
        self.life += 1;
        self.stepping = false;
        self.exported.clear();
        let mut lost: Vec<Task> = self.unread.drain(..).collect();
        lost.extend(std::mem::take(&mut self.generating).into_values());
        lost.extend(std::mem::take(&mut self.expected).into_values());
        lost
    }

    /// Plans the next step; returns how long it takes, if there is anything to do.
    pub fn plan_step(&mut self) -> Option<Duration> {
        let reads = self.unread.front().map(|task| (task.request, task.unread.min(PIECE_TOKENS)));
        self.plan = Plan { reads, generates: self.generating.keys().copied().collect() };
        let generation = match self.plan.generates.len() {
            0 if reads.is_none() => return None,
            0 => Duration::ZERO,
            requests => self.performance.step_time_of(requests as u32),
        };
        let piece = reads.map_or(0, |(_, tokens)| tokens);
        Some((generation + self.performance.read_time(piece)).mul_f64(self.slowdown))
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
        if let Some(first) = self.unread.front_mut()
            && let Some((_, piece)) = plan.reads.filter(|(request, _)| *request == first.request)
        {
            first.unread -= piece;
            if first.unread == 0 {
                results.extend(self.prompt_done());
            }
        }
        results
    }

    fn prompt_done(&mut self) -> Option<StepResult> {
        let task = self.unread.pop_front()?;
        if task.prefill_only {
            self.exported.insert(task.request, task.kv_tokens);
            return Some(StepResult::PromptRead(task));
        }
        self.generating.insert(task.request, task);
        Some(StepResult::FirstToken(task))
    }
}
