//! The checker: a sound history passes, and each check bites on a history with one fault.

use std::time::Duration;

use havengate_core::authority::{OrderAction, OrderId, Term};
use havengate_core::request::{BlockHash, IdempotencyKey, RequestId};
use havengate_core::time::Timestamp;
use havengate_core::world::EngineRole;
use havengate_rehearsal::checker::{
    CallRecord, Departure, Disturbance, EngineObservation, Evidence, KeyedPrompt, Outcome, Violation, check,
};
use havengate_rehearsal::engine::expected_text;
use havengate_rehearsal::engine::model::{OrderRecord, RunEnd, RunRecord, WorkKind};

const ANSWER_TOKENS: u32 = 4;
const REQUEST: RequestId = RequestId(7);
const OTHER_REQUEST: RequestId = RequestId(8);
const KEY_BLOCK: BlockHash = BlockHash(99);

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_secs(seconds)
}

fn completed(number: u64, request: RequestId) -> CallRecord {
    CallRecord {
        number,
        request: Some(request),
        keyed: None,
        is_repeat: false,
        contract: "verdict".into(),
        sent_at: Duration::from_secs(1),
        ended_at: Duration::from_secs(2),
        first_token: None,
        token_interval: None,
        text: expected_text(request, 0, ANSWER_TOKENS),
        answer_tokens: ANSWER_TOKENS,
        is_replayed: false,
        outcome: Outcome::Completed,
    }
}

fn ended(number: u64, request: RequestId, outcome: Outcome) -> CallRecord {
    CallRecord { text: String::new(), outcome, ..completed(number, request) }
}

fn not_run() -> Outcome {
    Outcome::NotRun("queue_full".to_owned())
}

fn cut() -> Outcome {
    Outcome::MayHaveRun("answer_cut".to_owned())
}

fn keyed(call: CallRecord) -> CallRecord {
    let key = IdempotencyKey { tenant: "press-floor".into(), key: "ticket-1".to_owned() };
    CallRecord { keyed: Some(KeyedPrompt { key, first_block: Some(KEY_BLOCK) }), ..call }
}

fn run(request: RequestId) -> RunRecord {
    RunRecord {
        request,
        kind: WorkKind::Generate,
        first_block: None,
        incarnation: 1,
        started_at: at(10),
        first_token: 0,
        tokens: ANSWER_TOKENS,
        end: Some((RunEnd::Finished, at(11))),
    }
}

fn engine(runs: Vec<RunRecord>) -> EngineObservation {
    EngineObservation {
        engine: "lekh-model-01".into(),
        runs,
        dropped_runs: 0,
        orders: Vec::new(),
        departures: Vec::new(),
    }
}

fn evidence(calls: Vec<CallRecord>, engine: EngineObservation) -> Evidence {
    Evidence {
        offered: calls.len() as u64,
        calls,
        engines: vec![engine],
        leaving_bound: Duration::from_secs(2),
        ..Evidence::default()
    }
}

fn order(counter: u64, replaced: Option<OrderId>) -> OrderRecord {
    let id = OrderId { term: Term(counter), sequence: 1 };
    OrderRecord { at: at(5), incarnation: 1, id, replaced, action: OrderAction::SetRole(EngineRole::Decode) }
}

fn whole() -> Evidence {
    evidence(vec![completed(0, REQUEST)], engine(vec![run(REQUEST)]))
}

#[test]
fn sound_history_passes() {
    let replayed =
        CallRecord { is_replayed: true, text: expected_text(REQUEST, 0, ANSWER_TOKENS), ..completed(1, OTHER_REQUEST) };
    let refused = ended(2, RequestId(9), not_run());
    let calls = vec![keyed(completed(0, REQUEST)), keyed(replayed), keyed(refused)];
    let first = order(1, None);
    let observed = EngineObservation {
        orders: vec![first.clone(), order(2, Some(first.id))],
        departures: vec![Departure { announced_at: at(9), revoked_at: Some(at(20)) }],
        ..engine(vec![run(REQUEST)])
    };
    assert_eq!(check(&evidence(calls, observed)), []);
}

#[test]
fn foreign_short_or_doubled_answers_are_found() {
    let whole_text = expected_text(REQUEST, 0, ANSWER_TOKENS);
    let texts = [
        expected_text(OTHER_REQUEST, 0, ANSWER_TOKENS),
        expected_text(REQUEST, 0, ANSWER_TOKENS - 1),
        format!("{}{whole_text}", expected_text(REQUEST, 0, 1)),
        format!("{}{}", expected_text(REQUEST, 0, 1), expected_text(REQUEST, 2, ANSWER_TOKENS)),
    ];
    for text in texts {
        let mut history = whole();
        history.calls[0].text = text;
        assert_eq!(check(&history), [Violation::WrongAnswer { call: 0 }]);
    }
}

#[test]
fn pieces_of_cut_and_refused_answers_are_checked() {
    let failed = vec![Disturbance { from: Duration::ZERO, until: Duration::from_secs(5) }];
    let piece = |outcome, text| {
        let call = CallRecord { text, ..ended(0, REQUEST, outcome) };
        check(&Evidence { disturbances: failed.clone(), ..evidence(vec![call], engine(vec![])) })
    };
    assert_eq!(piece(cut(), expected_text(REQUEST, 0, 2)), []);
    assert_eq!(piece(cut(), expected_text(REQUEST, 1, 2)), [Violation::WrongAnswer { call: 0 }]);
    assert_eq!(piece(not_run(), expected_text(REQUEST, 0, 1)), [Violation::WrongAnswer { call: 0 }]);
}

#[test]
fn answer_without_a_finished_run_is_found() {
    let mut history = whole();
    history.engines[0].runs[0].end = Some((RunEnd::Cancelled, at(11)));
    assert_eq!(check(&history), [Violation::CompletedWithoutRun { call: 0, request: REQUEST }]);
}

#[test]
fn run_after_not_run_is_found() {
    for kind in [WorkKind::Generate, WorkKind::Prefill] {
        let started = RunRecord { kind, end: None, ..run(REQUEST) };
        let history = evidence(vec![ended(0, REQUEST, not_run())], engine(vec![started]));
        let found = Violation::RanAfterNotRun { call: 0, request: REQUEST, engine: "lekh-model-01".into() };
        assert_eq!(check(&history), [found]);
    }
}

#[test]
fn second_run_of_a_key_is_found_by_request() {
    let calls = vec![keyed(completed(0, REQUEST)), keyed(completed(1, OTHER_REQUEST))];
    let history = evidence(calls, engine(vec![run(REQUEST), run(OTHER_REQUEST)]));
    let key = "press-floor/ticket-1".to_owned();
    assert_eq!(check(&history), [Violation::KeyRanAgain { key, generations: 2, prefills: 0 }]);
}

#[test]
fn second_run_of_a_key_is_found_by_prompt() {
    let lost = CallRecord { request: None, ..keyed(ended(1, OTHER_REQUEST, cut())) };
    let unnamed = RunRecord { first_block: Some(KEY_BLOCK), ..run(OTHER_REQUEST) };
    let failed = Disturbance { from: Duration::ZERO, until: Duration::from_secs(5) };
    let history = Evidence {
        disturbances: vec![failed],
        ..evidence(vec![keyed(completed(0, REQUEST)), lost], engine(vec![run(REQUEST), unnamed]))
    };
    let key = "press-floor/ticket-1".to_owned();
    assert_eq!(check(&history), [Violation::KeyRanAgain { key, generations: 2, prefills: 0 }]);
}

#[test]
fn replay_of_another_keys_answer_is_found() {
    let replayed = CallRecord { is_replayed: true, ..keyed(completed(1, OTHER_REQUEST)) };
    let history = evidence(vec![replayed], engine(vec![run(OTHER_REQUEST), run(REQUEST)]));
    assert_eq!(check(&history), []);
    let foreign = CallRecord { text: expected_text(REQUEST, 0, ANSWER_TOKENS), ..history.calls[0].clone() };
    let history = evidence(vec![foreign], history.engines[0].clone());
    assert_eq!(check(&history), [Violation::WrongAnswer { call: 1 }]);
}

#[test]
fn late_work_on_a_leaving_engine_is_found() {
    let leaving = |announced, revoked_at| {
        let departures = vec![Departure { announced_at: at(announced), revoked_at }];
        let observed = EngineObservation { departures, ..engine(vec![run(REQUEST)]) };
        check(&evidence(vec![completed(0, REQUEST)], observed))
    };
    let after = Duration::from_secs(3);
    let found = Violation::NewWorkWhileLeaving { engine: "lekh-model-01".into(), request: REQUEST, after };
    assert_eq!(leaving(7, None), [found]);
    assert_eq!(leaving(8, None), []);
    assert_eq!(leaving(7, Some(at(10))), []);
}

#[test]
fn run_cut_by_an_order_is_found() {
    let mut history = whole();
    history.engines[0].runs.push(RunRecord { end: Some((RunEnd::CutByOrder, at(11))), ..run(OTHER_REQUEST) });
    let found = Violation::CutByOrder { engine: "lekh-model-01".into(), request: OTHER_REQUEST };
    assert_eq!(check(&history), [found]);
}

#[test]
fn cut_answer_needs_a_failure_meanwhile() {
    let cut_while = |from, until| {
        let failed = Disturbance { from: Duration::from_secs(from), until: Duration::from_secs(until) };
        let calls = vec![ended(0, REQUEST, cut())];
        check(&Evidence { disturbances: vec![failed], ..evidence(calls, engine(vec![])) })
    };
    assert_eq!(cut_while(0, 1), []);
    assert_eq!(cut_while(2, 3), []);
    assert_eq!(cut_while(3, 4), [Violation::CutWithoutFailure { call: 0, reason: "answer_cut".to_owned() }]);
}

#[test]
fn conflicting_orders_are_found() {
    let mut history = whole();
    history.engines[0].orders = vec![order(2, None), order(1, None)];
    assert_eq!(check(&history), [Violation::ConflictingOrders { engine: "lekh-model-01".into(), orders: 1 }]);
}

#[test]
fn missing_and_doubled_outcomes_are_found() {
    let mut missing = whole();
    missing.offered = 2;
    assert_eq!(check(&missing), [Violation::Unaccounted { offered: 2, recorded: 1 }]);
    let mut doubled = whole();
    doubled.calls.push(completed(0, REQUEST));
    doubled.offered = 2;
    assert_eq!(check(&doubled), [Violation::Unaccounted { offered: 2, recorded: 2 }]);
}

#[test]
fn gap_in_a_history_is_found() {
    let mut history = whole();
    history.engines[0].dropped_runs = 3;
    assert_eq!(check(&history), [Violation::IncompleteHistory { engine: "lekh-model-01".into(), runs: 3 }]);
}
