//! The engine model: what holds over random scripts of work, cancelling, orders and crashes.

mod engine_support;

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use engine_support::{Observer, config, engine, run_to_end, work};
use havengate_core::authority::{Order, OrderAction, OrderId, OrderReply, Term};
use havengate_core::request::RequestId;
use havengate_core::time::Timestamp;
use havengate_core::world::EngineRole;
use havengate_rehearsal::engine::model::{
    CancelOutcome, EngineModel, EngineModelConfig, EngineOutput, GenerateWork, ImportedKv, OutputEvent, RunEnd,
    WorkKind,
};

const SEEDS: std::ops::Range<u64> = 1..60;
const RANDOM_BYTES: u64 = 1_500;

/// One thing that happens to an engine, after a pause.
#[derive(Clone, Debug)]
enum Action {
    Submit(GenerateWork),
    Cancel(RequestId),
    Fence(Term),
    Order(Order),
    Leaving(bool),
    Crash,
    Restart,
}

type Script = Vec<(Duration, Action)>;

fn for_each_script(check: impl Fn(Script)) {
    for seed in SEEDS {
        arbtest(|random| {
            check(script(random)?);
            Ok(())
        })
        .seed(seed << 32 | RANDOM_BYTES);
    }
}

fn script(random: &mut Unstructured) -> Result<Script> {
    let length = random.int_in_range(20..=80)?;
    (0..length).map(|_| Ok((Duration::from_micros(random.int_in_range(0..=600_000)?), action(random)?))).collect()
}

fn action(random: &mut Unstructured) -> Result<Action> {
    let request = random.int_in_range(1..=60_u128)?;
    Ok(match random.int_in_range(0..=29)? {
        0..=2 => Action::Cancel(RequestId(request)),
        3 => Action::Fence(Term(random.int_in_range(0..=4)?)),
        4..=6 => Action::Order(order(random)?),
        7 => Action::Leaving(random.arbitrary()?),
        8 => Action::Crash,
        9 => Action::Restart,
        _ => Action::Submit(submission(request, random)?),
    })
}

fn submission(request: u128, random: &mut Unstructured) -> Result<GenerateWork> {
    let whole =
        work(request, random.int_in_range(1..=5)?, random.int_in_range(1..=3_000)?, random.int_in_range(1..=40)?);
    let kind = if random.ratio(1, 4)? { WorkKind::Prefill } else { WorkKind::Generate };
    let import = (kind == WorkKind::Generate && random.ratio(1, 4)?)
        .then(|| random.int_in_range(0..=whole.prompt_tokens).map(|tokens| ImportedKv { tokens }))
        .transpose()?;
    let resume_from = if random.ratio(1, 4)? { random.int_in_range(0..=whole.answer_tokens)? } else { 0 };
    Ok(GenerateWork { kind, import, resume_from, priority: random.int_in_range(0..=3)?, ..whole })
}

fn order(random: &mut Unstructured) -> Result<Order> {
    let id = |random: &mut Unstructured| -> Result<OrderId> {
        Ok(OrderId { term: Term(random.int_in_range(0..=4)?), sequence: random.int_in_range(1..=2)? })
    };
    let replaces = if random.arbitrary()? { Some(id(random)?) } else { None };
    let roles = [EngineRole::Mixed, EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode];
    Ok(Order {
        id: id(random)?,
        engine_incarnation: random.int_in_range(1..=2)?,
        replaces,
        action: OrderAction::SetRole(*random.choose(&roles)?),
    })
}

/// A small engine, so that memory, batch and queue are under pressure.
fn small() -> EngineModelConfig {
    let mut config = config();
    config.performance.batch_maximum = 4;
    config.performance.kv_capacity_tokens = 8_192;
    config.performance.role_change = Duration::from_millis(700);
    config.waiting_maximum = 6;
    config
}

/// Runs a script and then lets the engine end its work; calls `watch` after each advance.
fn run(engine: &mut EngineModel, script: &Script, mut watch: impl FnMut(&EngineModel, Vec<EngineOutput>)) -> Timestamp {
    let mut now = Timestamp::ZERO;
    for (pause, action) in script {
        now = now + *pause;
        while let Some(at) = engine.next_event().filter(|at| *at <= now) {
            let outputs = engine.advance(at);
            watch(engine, outputs);
        }
        apply(engine, action.clone(), now);
        let outputs = engine.advance(now);
        watch(engine, outputs);
    }
    while let Some(at) = engine.next_event() {
        now = at;
        let outputs = engine.advance(at);
        watch(engine, outputs);
    }
    now
}

fn apply(engine: &mut EngineModel, action: Action, now: Timestamp) {
    match action {
        Action::Submit(work) => drop(engine.submit(work, now)),
        Action::Cancel(request) => drop(engine.cancel(request, now)),
        Action::Fence(term) => drop(engine.raise_fence(term, now)),
        Action::Order(order) => drop(engine.order(&order, now)),
        Action::Leaving(leaving) => engine.set_leaving(leaving, now),
        Action::Crash => engine.crash(now),
        Action::Restart => engine.restart(now),
    }
}

/// A script without what would let the same request run twice.
fn each_request_once(script: Script) -> Script {
    let mut next = 0;
    let number = |action| match action {
        Action::Submit(work) => {
            next += 1;
            Action::Submit(GenerateWork { request: RequestId(next), ..work })
        }
        other => other,
    };
    let (pauses, actions): (Vec<_>, Vec<_>) = script.into_iter().unzip();
    pauses.into_iter().zip(actions.into_iter().map(number)).collect()
}

fn without_crashes(script: Script) -> Script {
    script.into_iter().filter(|(_, action)| !matches!(action, Action::Crash | Action::Restart)).collect()
}

#[test]
fn each_token_comes_once_and_in_order_and_the_answer_is_whole() {
    for_each_script(|script| {
        let script = each_request_once(script);
        let submitted: BTreeMap<RequestId, GenerateWork> = script
            .iter()
            .filter_map(|(_, action)| match action {
                Action::Submit(work) => Some((work.request, work.clone())),
                _ => None,
            })
            .collect();
        let mut observer = Observer::default();
        let mut engine = engine(small());
        run(&mut engine, &script, |_, outputs| {
            outputs.into_iter().for_each(|output| observer.observe(output, submitted[&output.request].resume_from));
        });
        for (request, observed) in observer.requests.iter().filter(|(_, observed)| observed.finish.is_some()) {
            assert_eq!(observed.next_token, Some(submitted[request].answer_tokens), "{request}");
        }
        for run in engine.history().runs().filter(|run| run.kind == WorkKind::Generate) {
            let finished = run.end.map(|(end, _)| end) == Some(RunEnd::Finished);
            assert_eq!(finished, observer.requests[&run.request].finish.is_some(), "{run:?}");
        }
    });
}

#[test]
fn batch_queue_and_memory_stay_in_their_bounds_and_end_empty() {
    for_each_script(|script| {
        let mut engine = engine(small());
        run(&mut engine, &script, |engine, _| {
            let usage = engine.usage();
            let config = engine.config();
            assert!(usage.running <= config.performance.batch_maximum, "{usage:?}");
            assert!(usage.waiting as usize <= config.waiting_maximum, "{usage:?}");
            let held = usage.held_kv_tokens + usage.idle_kv_tokens;
            assert!(held <= config.performance.kv_capacity_tokens, "{usage:?}");
        });
        let usage = engine.usage();
        assert_eq!((usage.running, usage.waiting, usage.held_kv_tokens), (0, 0, 0));
    });
}

#[test]
fn request_that_is_refused_or_cancelled_before_its_start_never_runs() {
    for_each_script(|script| {
        let script = without_crashes(each_request_once(script));
        let mut engine = engine(small());
        let mut not_run = Vec::new();
        let mut now = Timestamp::ZERO;
        for (pause, action) in &script {
            now = now + *pause;
            match action {
                Action::Submit(work) if engine.submit(work.clone(), now).is_err() => not_run.push(work.request),
                Action::Cancel(request) if engine.cancel(*request, now) == CancelOutcome::NotStarted => {
                    not_run.push(*request)
                }
                Action::Submit(_) | Action::Cancel(_) => {}
                other => apply(&mut engine, other.clone(), now),
            }
        }
        let outputs = run_to_end(&mut engine);
        let refused = |output: &&EngineOutput| matches!(output.event, OutputEvent::Refused(_));
        not_run.extend(outputs.iter().filter(refused).map(|output| output.request));
        for request in not_run {
            assert!(engine.history().runs().all(|run| run.request != request), "{request}");
        }
    });
}

#[test]
fn refused_order_or_fence_changes_nothing() {
    for_each_script(|script| {
        let mut engine = engine(small());
        let mut now = Timestamp::ZERO;
        for (pause, action) in script {
            now = now + pause;
            engine.advance(now);
            let before = (engine.report().cloned(), engine.usage(), engine.history().orders().count());
            let reply = match &action {
                Action::Order(order) => engine.order(order, now),
                Action::Fence(term) => engine.raise_fence(*term, now),
                other => {
                    apply(&mut engine, other.clone(), now);
                    continue;
                }
            };
            let after = (engine.report().cloned(), engine.usage(), engine.history().orders().count());
            match reply {
                OrderReply::Accepted(report) => {
                    assert!(Some(report.fence) >= before.0.map(|report| report.fence), "a fence never falls")
                }
                OrderReply::Refused(..) | OrderReply::Unknown => {
                    assert_eq!(before, after);
                    assert_eq!(engine.advance(now), [], "nothing is cut by a refused order");
                }
            }
        }
    });
}

#[test]
fn orders_of_one_life_replace_each_other_in_rising_terms() {
    for_each_script(|script| {
        let mut engine = engine(small());
        run(&mut engine, &script, |_, _| {});
        let orders: Vec<_> = engine.history().orders().collect();
        for pair in orders.windows(2).filter(|pair| pair[0].incarnation == pair[1].incarnation) {
            assert_eq!(pair[1].replaced, Some(pair[0].id));
            assert!(pair[1].id.term >= pair[0].id.term);
            let change = Duration::from_millis(700);
            assert!(pair[1].at >= pair[0].at + change, "no order while another is executed");
        }
    });
}

#[test]
fn size_of_pieces_changes_no_time() {
    for_each_script(|script| {
        let script = each_request_once(script);
        let ends = |piece_tokens| {
            let mut engine = engine(EngineModelConfig { piece_tokens, ..small() });
            run(&mut engine, &script, |_, _| {});
            engine.history().runs().cloned().collect::<Vec<_>>()
        };
        let one_by_one = ends(1);
        assert_eq!(one_by_one, ends(7));
        assert_eq!(one_by_one, ends(u32::MAX));
    });
}

#[test]
fn crash_loses_all_but_the_history_also_in_the_middle_of_a_change() {
    for_each_script(|script| {
        let mut engine = engine(small());
        let now = run(&mut engine, &script, |_, _| {}) + Duration::from_millis(1);
        engine.restart(now);
        let first_life = engine.report().expect("up").clone();
        engine.submit(work(1_000, 1, 2_000, 50), now).expect("a fresh engine takes work");
        engine.advance(now + Duration::from_millis(400));
        let later = now + Duration::from_millis(500);
        let id = OrderId { term: Term(9), sequence: 1 };
        let order = Order {
            id,
            engine_incarnation: first_life.incarnation,
            replaces: None,
            action: OrderAction::SetRole(EngineRole::Decode),
        };
        assert!(matches!(engine.order(&order, later), OrderReply::Accepted(_)));
        engine.crash(later + Duration::from_millis(100));
        assert_eq!(engine.report(), None);
        assert_eq!(engine.raise_fence(Term(10), later + Duration::from_millis(200)), OrderReply::Unknown);
        engine.restart(later + Duration::from_millis(300));
        let second_life = engine.report().expect("up").clone();
        assert_eq!(engine.alive_for(later + Duration::from_millis(350)), Duration::from_millis(50));
        assert_eq!(second_life.incarnation, first_life.incarnation + 1);
        assert_eq!((second_life.fence, second_life.order, second_life.changing), (Term(0), None, false));
        assert_eq!(second_life.role, EngineRole::Mixed, "the change that was going on has no effect");
        assert!(matches!(engine.order(&order, later + Duration::from_millis(400)), OrderReply::Refused(..)));
        let run = engine.history().generations(RequestId(1_000)).next().expect("it had started");
        assert_eq!(run.end.map(|(end, _)| end), Some(RunEnd::CutByOrder));
        assert_eq!(engine.usage().held_kv_tokens + engine.usage().idle_kv_tokens, 0);
    });
}
