//! The stand-in engine on a real socket, called through the node's adapter.

mod engine_support;
mod stand_in_support;

use std::net::SocketAddr;
use std::time::Duration;

use engine_support::{MODEL, config};
use havengate_core::authority::{Order, OrderAction, OrderId, OrderRefusal, OrderReply, Term};
use havengate_core::request::{FinishReason, RequestId};
use havengate_core::world::{Address, EngineRole};
use havengate_node::engines::dialect::{GenerateLine, GenerateRequest, KvHandle};
use havengate_node::engines::{EngineApi, EngineCallError, EngineTimeouts, GenerateStream, HttpEngineApi, StreamError};
use havengate_rehearsal::engine::model::{EngineModelConfig, RunEnd};
use havengate_rehearsal::engine::server::{EngineFaults, EngineHandle, EngineServer};
use havengate_rehearsal::engine::{answer_length, expected_text};
use stand_in_support::wait_until;

const LOOPBACK: &str = "127.0.0.1:0";
/// Long enough for an answer to be far from its end when its first line is read.
const LONG_ANSWER: u32 = 100_000;

/// An engine that is quick but for generating: 5 ms a token.
fn start(role: EngineRole) -> EngineHandle {
    let mut config = EngineModelConfig { role, load_lag: Duration::ZERO, ..config() };
    config.performance.step_time = Duration::from_millis(5);
    config.performance.role_change = Duration::from_millis(50);
    let address: SocketAddr = LOOPBACK.parse().expect("an address");
    EngineServer::start(config, address).expect("the engine starts")
}

fn api() -> HttpEngineApi {
    HttpEngineApi::new(EngineTimeouts { control: Duration::from_millis(300), ..EngineTimeouts::default() })
}

fn address(engine: &EngineHandle) -> Address {
    Address(engine.address())
}

fn request(id: u128, max_tokens: u32) -> GenerateRequest {
    GenerateRequest {
        request: RequestId(id).to_string(),
        model: MODEL.to_owned(),
        prompt: format!("Please check the proof of ticket {id} against the house style."),
        max_tokens,
        priority: 4,
        resume_from: 0,
        import: None,
    }
}

fn read_all(mut stream: Box<dyn GenerateStream>) -> Result<Vec<GenerateLine>, (Vec<GenerateLine>, StreamError)> {
    let mut lines = Vec::new();
    loop {
        match stream.next_line() {
            Ok(line) if line.finish.is_some() => {
                lines.push(line);
                return Ok(lines);
            }
            Ok(line) => lines.push(line),
            Err(error) => return Err((lines, error)),
        }
    }
}

fn text_of(lines: &[GenerateLine]) -> String {
    lines.iter().map(|line| line.text.as_str()).collect()
}

#[test]
fn answer_is_whole_and_its_own() {
    let engine = start(EngineRole::Mixed);
    let body = request(7, 40);
    let stream = api().generate(address(&engine), &body).expect("accepted");
    let lines = read_all(stream).expect("a whole answer");
    let length = answer_length(&body.prompt, 40);
    assert_eq!(text_of(&lines), expected_text(RequestId(7), 0, length));
    assert_eq!(
        lines.last().and_then(|line| line.finish),
        Some(if length == 40 { FinishReason::Length } else { FinishReason::Stop })
    );
}

#[test]
fn first_line_arrives_before_the_last_is_produced() {
    let engine = start(EngineRole::Mixed);
    let mut stream = api().generate(address(&engine), &request(1, LONG_ANSWER)).expect("accepted");
    let first = stream.next_line().expect("a first line");
    assert_eq!((first.first_token, first.finish), (0, None));
    let end = engine.history().generations(RequestId(1)).next().expect("it runs").end;
    assert_eq!(end, None, "the engine still generates");
}

#[test]
fn cut_answer_has_no_finish() {
    let engine = start(EngineRole::Mixed);
    engine.set_faults(EngineFaults { cut: 0.2, ..EngineFaults::default() });
    let stream = api().generate(address(&engine), &request(1, LONG_ANSWER)).expect("accepted");
    let (lines, error) = read_all(stream).expect_err("the answer is cut");
    assert!(lines.iter().all(|line| line.finish.is_none()));
    assert!(matches!(error, StreamError::Cut(_)), "{error:?}");
}

#[test]
fn body_of_a_cut_answer_is_unterminated() {
    let engine = start(EngineRole::Mixed);
    engine.set_faults(EngineFaults { cut: 0.2, ..EngineFaults::default() });
    let url = format!("http://{}/v1/generate", engine.address());
    let mut response = ureq::post(url).send_json(request(1, LONG_ANSWER)).expect("accepted");
    response.body_mut().read_to_string().expect_err("an answer that ends early must not read as a whole body");
}

#[test]
fn refusal_means_not_run() {
    let engine = start(EngineRole::Mixed);
    engine.set_faults(EngineFaults { refusal: 1.0, ..EngineFaults::default() });
    let refused = api().generate(address(&engine), &request(1, 10)).err();
    assert_eq!(refused, Some(EngineCallError::NotRun("full".to_owned())));
    engine.set_faults(EngineFaults::default());
    engine.set_leaving(true);
    let refused = api().generate(address(&engine), &request(1, 10)).err();
    assert_eq!(refused, Some(EngineCallError::NotRun("leaving".to_owned())));
    assert_eq!(engine.history().runs().count(), 0);
}

#[test]
fn doubled_and_foreign_lines_can_be_told_apart() {
    let engine = start(EngineRole::Mixed);
    engine.set_faults(EngineFaults { doubled_line: 1.0, foreign_line: 1.0, ..EngineFaults::default() });
    let body = request(3, 12);
    let lines = read_all(api().generate(address(&engine), &body).expect("accepted")).expect("a whole answer");
    let (own, foreign): (Vec<_>, Vec<_>) = lines.into_iter().partition(|line| line.request == body.request);
    let length = answer_length(&body.prompt, 12);
    assert_eq!((own.len(), foreign.len()), (2 * length as usize, length as usize));
    assert!(own.chunks(2).all(|pair| pair[0].first_token == pair[1].first_token));
    assert!(foreign.iter().all(|line| line.finish.is_none()));
}

#[test]
fn killed_engine_cuts_its_streams_and_comes_back_as_another_life() {
    let engine = start(EngineRole::Mixed);
    let api = api();
    let before = api.state(address(&engine)).expect("alive");
    assert!(matches!(api.raise_fence(address(&engine), Term(3)), OrderReply::Accepted(_)));
    let mut stream = api.generate(address(&engine), &request(1, LONG_ANSWER)).expect("accepted");
    stream.next_line().expect("a first line");
    engine.kill();
    assert!(read_all(stream).is_err(), "the stream breaks");
    wait_until("nothing listens", || {
        matches!(api.generate(address(&engine), &request(2, 10)), Err(EngineCallError::NotRun(_)))
    });
    engine.restart().expect("it starts again");
    let after = api.state(address(&engine)).expect("alive again");
    assert_eq!((after.incarnation, after.fence), (before.incarnation + 1, Term(0)));
    read_all(api.generate(address(&engine), &request(4, 10)).expect("accepted")).expect("a whole answer");
    let crashed = engine.history().generations(RequestId(1)).next().and_then(|run| run.end);
    assert_eq!(crashed.map(|(end, _)| end), Some(RunEnd::Crashed));
}

#[test]
fn paused_engine_answers_nothing_and_goes_on_afterwards() {
    let engine = start(EngineRole::Mixed);
    let api = api();
    let mut stream = api.generate(address(&engine), &request(1, 300)).expect("accepted");
    stream.next_line().expect("a first line");
    engine.pause();
    assert_eq!(api.state(address(&engine)), None);
    engine.resume();
    read_all(stream).expect("the answer goes on to its end");
    assert!(api.state(address(&engine)).is_some());
}

#[test]
fn kv_goes_from_engine_to_engine_by_handle_once() {
    let (reader, generator) = (start(EngineRole::Prefill), start(EngineRole::Decode));
    let api = api();
    let body = request(9, 20);
    let handle = api.prefill(address(&reader), &body).expect("the prompt is read");
    assert_eq!(handle.engine, reader.address().to_string());
    let imported = GenerateRequest { import: Some(handle.clone()), ..body };
    let lines = read_all(api.generate(address(&generator), &imported).expect("accepted")).expect("a whole answer");
    assert_eq!(text_of(&lines), expected_text(RequestId(9), 0, answer_length(&imported.prompt, 20)));
    let again = GenerateRequest { import: Some(KvHandle { ..handle }), ..request(10, 20) };
    let refused = api.generate(address(&generator), &again).err();
    assert_eq!(refused, Some(EngineCallError::NotRun("kv_lost".to_owned())));
}

#[test]
fn cancel_stops_what_runs_and_forbids_what_has_not_come() {
    let engine = start(EngineRole::Mixed);
    let api = api();
    let mut stream = api.generate(address(&engine), &request(1, LONG_ANSWER)).expect("accepted");
    stream.next_line().expect("a first line");
    assert_eq!(api.cancel(address(&engine), RequestId(1)).map(|answer| answer.started), Some(true));
    assert!(read_all(stream).is_err(), "a cancelled answer has no finish");
    assert_eq!(api.cancel(address(&engine), RequestId(2)).map(|answer| answer.started), Some(false));
    let refused = api.generate(address(&engine), &request(2, 10)).err();
    assert_eq!(refused, Some(EngineCallError::NotRun("revoked".to_owned())));
    assert_eq!(engine.history().generations(RequestId(2)).count(), 0);
}

#[test]
fn client_that_hangs_up_frees_the_engine() {
    let engine = start(EngineRole::Mixed);
    let mut stream = api().generate(address(&engine), &request(1, LONG_ANSWER)).expect("accepted");
    stream.next_line().expect("a first line");
    drop(stream);
    wait_until("the engine is idle", || engine.usage().running == 0);
    let run = engine.history().generations(RequestId(1)).next().and_then(|run| run.end);
    assert_eq!(run.map(|(end, _)| end), Some(RunEnd::Cancelled));
}

#[test]
fn orders_need_the_fence_and_the_life_of_the_engine() {
    let engine = start(EngineRole::Mixed);
    let api = api();
    let order = |term, engine_incarnation| Order {
        id: OrderId { term: Term(term), sequence: 1 },
        engine_incarnation,
        replaces: None,
        action: OrderAction::SetRole(EngineRole::Decode),
    };
    assert!(matches!(api.raise_fence(address(&engine), Term(5)), OrderReply::Accepted(_)));
    let refusal = |reply| match reply {
        OrderReply::Refused(refusal, _) => Some(refusal),
        _ => None,
    };
    assert_eq!(refusal(api.order(address(&engine), &order(4, 1))), Some(OrderRefusal::StaleTerm));
    assert_eq!(refusal(api.order(address(&engine), &order(5, 2))), Some(OrderRefusal::OtherIncarnation));
    assert_eq!(engine.report().map(|report| report.role), Some(EngineRole::Mixed));
    assert!(matches!(api.order(address(&engine), &order(5, 1)), OrderReply::Accepted(_)));
    wait_until("the role has changed", || engine.report().is_some_and(|report| !report.changing));
    assert_eq!(engine.report().map(|report| report.role), Some(EngineRole::Decode));
    assert_eq!(engine.history().orders().count(), 1);
}

#[test]
fn load_and_cache_events_are_served() {
    let engine = start(EngineRole::Mixed);
    let api = api();
    let long = GenerateRequest { prompt: "word ".repeat(1_000), ..request(1, LONG_ANSWER) };
    let mut stream = api.generate(address(&engine), &long).expect("accepted");
    stream.next_line().expect("a first line");
    wait_until("the load shows the request", || api.load(address(&engine)).is_some_and(|load| load.running == 1));
    wait_until("the cache events come", || {
        let events = api.cache_events(address(&engine), 0).expect("answered");
        events.events.iter().map(|event| event.stored.len()).sum::<usize>() == 7
    });
}
