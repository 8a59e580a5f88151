//! The engine model: scheduling, memory, hand-over and cancelling, with chosen cases.

mod engine_support;

use std::time::Duration;

use engine_support::{config, engine, first_token_at, run_to_end, work};
use havengate_core::authority::{Order, OrderAction, OrderId, OrderReply, Term};
use havengate_core::request::{BLOCK_TOKENS, RequestId};
use havengate_core::time::Timestamp;
use havengate_core::world::EngineRole;
use havengate_rehearsal::engine::model::{
    CancelOutcome, EngineConfigError, EngineModelConfig, EngineRefusalCode, GenerateWork, ImportedKv, OutputEvent,
    RunEnd, WorkKind,
};
use havengate_rehearsal::engine::{answer_length, expected_text};

fn prefill(work: GenerateWork) -> GenerateWork {
    GenerateWork { kind: WorkKind::Prefill, ..work }
}

#[test]
fn time_of_a_lone_request_follows_from_the_performance() {
    let mut engine = engine(config());
    engine.submit(work(1, 1, 4_000, 11), Timestamp::ZERO).expect("accepted");
    let outputs = run_to_end(&mut engine);
    // 4,000 tokens at 8,000 a second in two chunks, then ten more tokens of 20 ms each.
    assert_eq!(first_token_at(&outputs, 1), Some(Timestamp::from_millis(500)));
    assert_eq!(outputs.last().map(|output| output.at), Some(Timestamp::from_millis(700)));
}

#[test]
fn long_prompt_delays_running_request_by_one_chunk_a_step() {
    let mut engine = engine(config());
    engine.submit(work(1, 1, 100, 100), Timestamp::ZERO).expect("accepted");
    let start = Timestamp::from_millis(500);
    engine.advance(start);
    engine.submit(work(2, 2, 8_000, 5), start).expect("accepted");
    let outputs = run_to_end(&mut engine);
    let times: Vec<Timestamp> =
        outputs.iter().filter(|output| output.request == RequestId(1)).map(|output| output.at).collect();
    let gaps: Vec<Duration> = times.windows(2).map(|pair| pair[1].since(pair[0])).collect();
    // A chunk of 2,000 tokens takes 250 ms, on top of the 20 ms of the running request.
    assert_eq!(gaps.iter().max(), Some(&Duration::from_millis(270)));
    assert_eq!(gaps.iter().filter(|gap| **gap == Duration::from_millis(270)).count(), 4);
}

#[test]
fn cached_prefix_is_not_read_again() {
    let mut engine = engine(config());
    engine.submit(work(1, 7, 4_000, 2), Timestamp::ZERO).expect("accepted");
    run_to_end(&mut engine);
    let later = Timestamp::from_millis(60_000);
    engine.submit(work(2, 7, 4_000, 2), later).expect("accepted");
    let first = first_token_at(&run_to_end(&mut engine), 2).expect("answered");
    let unread = 4_000 - 4_000 / BLOCK_TOKENS * BLOCK_TOKENS;
    assert_eq!(first.since(later), Duration::from_secs_f64(f64::from(unread) / 8_000.0));
}

#[test]
fn last_block_of_a_wholly_cached_prompt_is_read_for_the_first_token() {
    let mut engine = engine(config());
    engine.submit(work(1, 7, 10 * BLOCK_TOKENS, 2), Timestamp::ZERO).expect("accepted");
    run_to_end(&mut engine);
    let later = Timestamp::from_millis(60_000);
    engine.submit(work(2, 7, 10 * BLOCK_TOKENS, 2), later).expect("accepted");
    let first = first_token_at(&run_to_end(&mut engine), 2).expect("answered");
    assert_eq!(first.since(later), Duration::from_secs_f64(f64::from(BLOCK_TOKENS) / 8_000.0));
}

#[test]
fn running_requests_push_out_cached_prefixes_oldest_first() {
    let mut small = config();
    small.performance.kv_capacity_tokens = 4_096;
    small.cache_event_lag = Duration::ZERO;
    let mut engine = engine(small);
    for text in 1..=3 {
        engine.submit(work(u128::from(text), text, 1_280, 2), Timestamp::from_millis(text * 10_000)).expect("accepted");
        run_to_end(&mut engine);
    }
    engine.submit(work(4, 4, 1_280, 2), Timestamp::from_millis(50_000)).expect("accepted");
    let end = run_to_end(&mut engine).last().expect("answered").at;
    let events = engine.cache_events(0, end).events;
    let removed: Vec<_> = events.iter().flat_map(|event| &event.removed).collect();
    let oldest = engine_support::chain(1, 10);
    assert!(!removed.is_empty());
    assert!(removed.iter().all(|block| oldest.contains(block)), "only the oldest prompt's blocks went");
    assert_eq!(removed[0], &oldest[9], "the end of a prefix goes before its beginning");
}

#[test]
fn higher_priority_starts_first_then_the_earlier_arrival() {
    let mut narrow = config();
    narrow.performance.batch_maximum = 1;
    let mut engine = engine(narrow);
    let with_priority = |id, priority| GenerateWork { priority, ..work(id, id as u64, 500, 5) };
    for (id, priority) in [(1, 0), (2, 1), (3, 9), (4, 1), (5, 9)] {
        engine.submit(with_priority(id, priority), Timestamp::ZERO).expect("accepted");
    }
    run_to_end(&mut engine);
    let order: Vec<u128> = engine.history().runs().map(|run| run.request.0).collect();
    assert_eq!(order, [1, 3, 5, 2, 4]);
}

#[test]
fn kv_moves_from_prefill_to_decode_engine_by_handle() {
    let mut reader = engine(EngineModelConfig { role: EngineRole::Prefill, ..config() });
    let mut generator = engine(EngineModelConfig { role: EngineRole::Decode, ..config() });
    let whole = work(1, 1, 4_000, 3);
    assert_eq!(reader.submit(whole.clone(), Timestamp::ZERO), Err(EngineRefusalCode::WrongRole));
    assert_eq!(generator.submit(whole.clone(), Timestamp::ZERO), Err(EngineRefusalCode::WrongRole));
    reader.submit(prefill(whole.clone()), Timestamp::ZERO).expect("accepted");
    let mut done = None;
    while done.is_none() {
        let at = reader.next_event().expect("working");
        done = reader.advance(at).into_iter().find_map(|output| match output.event {
            OutputEvent::PrefillDone(kv) => Some((output.at, kv)),
            _ => None,
        });
    }
    let (at, kv) = done.expect("the prefill ends");
    assert_eq!(kv.tokens, 4_000);
    assert_eq!(reader.claim_export(kv.id, at), Some(kv));
    assert_eq!(reader.claim_export(kv.id, at), None, "a handle is handed over once");
    let import = Some(ImportedKv { tokens: kv.tokens });
    generator.submit(GenerateWork { import, ..whole }, at).expect("accepted");
    let outputs = run_to_end(&mut generator);
    // 4,000 tokens at 200,000 a second, then one step of 20 ms.
    assert_eq!(first_token_at(&outputs, 1), Some(at + Duration::from_millis(40)));
    run_to_end(&mut reader);
    assert_eq!(reader.usage().held_kv_tokens, 0, "the transfer's end frees the memory");
}

#[test]
fn unclaimed_export_is_dropped_after_its_retention() {
    let mut engine = engine(config());
    engine.submit(prefill(work(1, 1, 1_000, 3)), Timestamp::ZERO).expect("accepted");
    let done = engine.next_event().and_then(|at| engine.advance(at).last().copied()).map(|output| output.at);
    let done = done.expect("working");
    let retention = engine.config().export_retention;
    engine.advance(done + retention - Duration::from_millis(500));
    assert_eq!(engine.usage().held_kv_tokens, 1_000);
    run_to_end(&mut engine);
    assert_eq!(engine.usage().held_kv_tokens, 0);
}

#[test]
fn resumed_request_goes_on_after_the_tokens_that_the_caller_has() {
    let mut engine = engine(config());
    engine.submit(GenerateWork { resume_from: 6, ..work(1, 1, 500, 10) }, Timestamp::ZERO).expect("accepted");
    let outputs = run_to_end(&mut engine);
    let first = outputs.iter().find_map(|output| match output.event {
        OutputEvent::Tokens { first_token, .. } => Some(first_token),
        _ => None,
    });
    assert_eq!(first, Some(6));
    assert_eq!(engine.history().runs().next().map(|run| run.tokens), Some(4));
}

#[test]
fn cancelled_before_it_came_never_runs() {
    let mut engine = engine(config());
    assert_eq!(engine.cancel(RequestId(1), Timestamp::ZERO), CancelOutcome::NotStarted);
    let late = Timestamp::from_millis(900_000);
    assert_eq!(engine.submit(work(1, 1, 100, 5), late), Err(EngineRefusalCode::Revoked));
    run_to_end(&mut engine);
    assert_eq!(engine.history().runs().count(), 0);
}

#[test]
fn cancelled_while_it_waits_never_runs_and_says_so() {
    let mut narrow = config();
    narrow.performance.batch_maximum = 1;
    let mut engine = engine(narrow);
    engine.submit(work(1, 1, 100, 50), Timestamp::ZERO).expect("accepted");
    engine.submit(work(2, 2, 100, 50), Timestamp::ZERO).expect("accepted");
    assert_eq!(engine.cancel(RequestId(2), Timestamp::from_millis(30)), CancelOutcome::NotStarted);
    assert_eq!(engine.cancel(RequestId(1), Timestamp::from_millis(500)), CancelOutcome::Started);
    let outputs = run_to_end(&mut engine);
    let refused = OutputEvent::Refused(EngineRefusalCode::Revoked);
    assert!(outputs.iter().any(|output| output.request == RequestId(2) && output.event == refused));
    let ends: Vec<_> = engine.history().runs().map(|run| (run.request.0, run.end.map(|(end, _)| end))).collect();
    assert_eq!(ends, [(1, Some(RunEnd::Cancelled))]);
    assert_eq!(engine.cancel(RequestId(1), Timestamp::from_millis(600)), CancelOutcome::Started);
}

#[test]
fn refusals_name_their_reason() {
    let mut small = config();
    small.waiting_maximum = 1;
    small.performance.batch_maximum = 1;
    let mut engine = engine(small);
    let now = Timestamp::ZERO;
    let other_model = GenerateWork { model: "triage-lm".into(), ..work(1, 1, 100, 5) };
    assert_eq!(engine.submit(other_model, now), Err(EngineRefusalCode::UnknownModel));
    assert_eq!(engine.submit(work(1, 1, 199_999, 5), now), Err(EngineRefusalCode::Invalid));
    engine.submit(work(1, 1, 100, 5), now).expect("accepted");
    assert_eq!(engine.submit(work(1, 1, 100, 5), now), Err(EngineRefusalCode::Duplicate));
    engine.submit(work(2, 2, 100, 5), now).expect("accepted");
    assert_eq!(engine.submit(work(3, 3, 100, 5), now), Err(EngineRefusalCode::Full));
    engine.set_leaving(true, now);
    assert_eq!(engine.submit(work(4, 4, 100, 5), now), Err(EngineRefusalCode::Leaving));
    run_to_end(&mut engine);
    assert_eq!(engine.history().runs().count(), 2, "what was accepted before the leaving still runs");
}

#[test]
fn load_reports_lag_and_cache_events_come_late_and_with_gaps() {
    let mut gappy = config();
    gappy.cache_event_loss = 0.5;
    let mut engine = engine(gappy);
    for id in 1..=30 {
        engine.submit(work(id, id as u64, 1_000, 3_000), Timestamp::from_millis(id as u64 * 1_000)).expect("accepted");
    }
    let now = Timestamp::from_millis(30_000);
    let load = engine.load(now);
    assert!(load.age_ms >= 2_000, "{load:?}");
    assert!(load.running < engine.usage().running, "the report is of the past: {load:?}");
    run_to_end(&mut engine);
    let seen = engine.cache_events(0, Timestamp::from_millis(900_000));
    let numbers: Vec<u64> = seen.events.iter().map(|event| event.sequence).collect();
    assert!(numbers.len() > 5 && numbers.windows(2).any(|pair| pair[1] > pair[0] + 1), "{numbers:?}");
    assert_eq!(engine.cache_events(seen.next, Timestamp::from_millis(900_000)).events, []);
}

#[test]
fn cache_events_can_be_read_after_their_lag_only() {
    let mut engine = engine(config());
    engine.submit(work(1, 1, 1_000, 2), Timestamp::ZERO).expect("accepted");
    run_to_end(&mut engine);
    // The prompt has been read after 125 ms; the event is a second late.
    assert_eq!(engine.cache_events(0, Timestamp::from_millis(1_124)).events, []);
    let seen = engine.cache_events(0, Timestamp::from_millis(1_150));
    assert_eq!(seen.events.iter().map(|event| event.stored.len()).sum::<usize>(), 7);
}

#[test]
fn engine_that_executes_an_order_takes_nothing_and_cuts_what_runs() {
    let mut engine = engine(config());
    engine.submit(work(1, 1, 100, 500), Timestamp::ZERO).expect("accepted");
    let order = Order {
        id: OrderId { term: Term(1), sequence: 1 },
        engine_incarnation: 1,
        replaces: None,
        action: OrderAction::SetRole(EngineRole::Prefill),
    };
    let now = Timestamp::from_millis(1_000);
    assert!(matches!(engine.order(&order, now), OrderReply::Accepted(_)));
    let outputs = engine.advance(now);
    assert_eq!(outputs.last().map(|output| output.event), Some(OutputEvent::Cut));
    let during = now + engine.config().performance.role_change - Duration::from_millis(1);
    assert_eq!(engine.submit(prefill(work(2, 2, 100, 5)), during), Err(EngineRefusalCode::Changing));
    let after = during + Duration::from_millis(1);
    assert_eq!(engine.submit(work(3, 3, 100, 5), after), Err(EngineRefusalCode::WrongRole));
    engine.submit(prefill(work(4, 4, 100, 5)), after).expect("a prefill engine now");
    assert_eq!(engine.history().runs().next().and_then(|run| run.end), Some((RunEnd::CutByOrder, now)));
}

#[test]
fn an_engine_at_rest_reports_that_it_is_idle_and_its_reports_stay_young() {
    let mut engine = engine(config());
    engine.submit(work(1, 1, 100, 1), Timestamp::ZERO).expect("accepted");
    run_to_end(&mut engine);
    for second in 60..70 {
        engine.load(Timestamp::from_millis(second * 1_000));
    }
    let load = engine.load(Timestamp::from_millis(70_000));
    assert_eq!((load.running, load.waiting), (0, 0), "{load:?}");
    assert!(load.age_ms <= 3_000, "the lag and one interval between two questions: {load:?}");
}

#[test]
fn settings_that_could_not_make_progress_are_refused() {
    let mut broken = config();
    broken.chunk_tokens = 0;
    assert_eq!(broken.validate(), Err(EngineConfigError::NotPositive { field: "chunk_tokens" }));
    let mut broken = config();
    broken.performance.prefill_tokens_per_second = f64::NAN;
    assert_eq!(broken.validate(), Err(EngineConfigError::NotPositive { field: "prefill_tokens_per_second" }));
}

#[test]
fn answer_tells_request_and_token_apart() {
    let whole = expected_text(RequestId(1), 0, 20);
    assert_eq!(whole, expected_text(RequestId(1), 0, 7) + &expected_text(RequestId(1), 7, 20));
    assert_ne!(whole, expected_text(RequestId(2), 0, 20));
    let lengths: Vec<u32> = (0..200).map(|prompt| answer_length(&format!("prompt {prompt}"), 64)).collect();
    assert!(lengths.iter().all(|length| (1..=64).contains(length)));
    assert!(lengths.contains(&64) && lengths.iter().any(|length| *length < 64));
    assert_eq!(answer_length("x", 0), 1);
}
