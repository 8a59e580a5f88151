//! Tests of the callers' API: answers, refusals and interrupted streams.

mod callers_support;
mod http_server_support;

use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use callers_support::{Callers, KEY, approve, piece};
use crossbeam::channel::{bounded, unbounded};
use havengate_core::request::{FinishReason, RequestId};
use havengate_core::verdict::{MayHaveRun, NotRun, NotRunReason, Verdict};
use havengate_node::callers::{CallerRequest, Readiness};
use havengate_node::http_server::HttpServerConfig;
use http_server_support::{PATIENCE, RawClient, RawResponse};
use serde_json::json;

const NON_STREAMING: &str = r#"{"model": "lekh-model", "prompt": "check the manuscript"}"#;
const STREAMING: &str = r#"{"model": "lekh-model", "prompt": "check the manuscript", "stream": true,
    "stream_options": {"include_usage": true}}"#;
const CHAT: &str = r#"{"model": "lekh-model", "messages": [{"role": "system", "content": "Be brief."},
    {"role": "user", "content": [{"type": "text", "text": "check the manuscript"}]}]"#;

fn post(callers: &Callers, headers: &str, body: &str) -> RawResponse {
    callers.client().post("/v1/completions", &format!("{KEY}{headers}"), body)
}

/// Parses each event of a stream as JSON; events that aren't JSON are returned as strings.
fn events(body: &str) -> Vec<serde_json::Value> {
    let data = body.split("\n\n").filter_map(|event| event.split("data: ").nth(1));
    data.map(|data| serde_json::from_str(data).unwrap_or(serde_json::Value::from(data))).collect()
}

/// Returns the request that the handler receives for `headers` and `body`.
fn submitted_request(headers: &str, body: &str) -> CallerRequest {
    let (sender, receiver) = unbounded();
    let callers = Callers::new(move |request, answer, hang_up| {
        sender.send(request.clone()).expect("test is receiving");
        approve(request, answer, hang_up)
    });
    let response = post(&callers, headers, body);
    assert_eq!(response.status, 200, "{}", response.body);
    receiver.recv_timeout(PATIENCE).expect("submitted")
}

#[test]
fn a_non_streamed_answer_has_text_verdict_and_usage() {
    let callers = Callers::new(approve);
    let response = post(&callers, "", NON_STREAMING);
    assert_eq!(response.status, 200);
    assert_eq!(response.header("x-havengate-verdict"), Some("completed"));
    assert_eq!(response.header("x-request-id").map(str::len), Some(32));
    let json = response.json();
    assert_eq!(json["object"], "text_completion");
    assert_eq!(json["choices"][0]["text"], "proof approved");
    assert_eq!(json["choices"][0]["finish_reason"], "stop");
    assert_eq!(json["usage"]["prompt_tokens"], 3);
    assert_eq!(json["usage"]["completion_tokens"], 2);
    assert_eq!(json["usage"]["total_tokens"], 5);
}

#[test]
fn chat_answers_with_and_without_streaming() {
    let callers = Callers::new(approve);
    let complete = callers.client().post("/v1/chat/completions", KEY, &format!("{CHAT}}}")).json();
    assert_eq!(complete["object"], "chat.completion");
    assert_eq!(complete["choices"][0]["message"]["role"], "assistant");
    assert_eq!(complete["choices"][0]["message"]["content"], "proof approved");
    let streamed = callers.client().post("/v1/chat/completions", KEY, &format!("{CHAT}, \"stream\": true}}"));
    let events = events(&streamed.body);
    assert_eq!(events[0]["object"], "chat.completion.chunk");
    assert_eq!(events[0]["choices"][0]["delta"]["role"], "assistant");
    assert_eq!(events[1]["choices"][0]["delta"]["content"], " approved");
    assert_eq!(events[1]["choices"][0]["finish_reason"], "stop");
    assert_eq!(events.last().expect("events"), "[DONE]");
}

#[test]
fn the_first_event_reaches_the_caller_before_the_second_is_produced() {
    let (first_event_seen, wait_until_seen) = bounded(0);
    let callers = Callers::new(move |request, answer, _| {
        let id = request.profile.id;
        answer.piece(piece(id, 0, "first", None)).expect("caller is connected");
        wait_until_seen.recv_timeout(PATIENCE).expect("the caller has the first event");
        answer.piece(piece(id, 1, " second", Some(FinishReason::Length))).expect("caller is connected");
        Verdict::Completed
    });
    let mut client = callers.client();
    client.send_post("/v1/completions", KEY, STREAMING);
    assert_eq!(client.head().0, 200);
    let first = client.chunk().expect("a chunk");
    assert_eq!(events(&first)[0]["choices"][0]["text"], "first");
    first_event_seen.send_timeout((), PATIENCE).expect("the handler waits");
    let rest: Vec<String> = std::iter::from_fn(|| client.chunk().filter(|chunk| !chunk.is_empty())).collect();
    let rest = events(&rest.concat());
    assert_eq!(rest[0]["choices"][0]["finish_reason"], "length");
    assert_eq!(rest[1]["usage"]["total_tokens"], 5);
    assert_eq!(rest[2], "[DONE]");
}

#[test]
fn an_interrupted_stream_ends_with_its_verdict_and_is_unterminated() {
    let callers = Callers::new(|request, answer, _| {
        answer.piece(piece(request.profile.id, 0, "half an", None)).expect("caller is connected");
        Verdict::MayHaveRun(MayHaveRun::EngineFailed)
    });
    let response = post(&callers, "", STREAMING);
    assert_eq!(response.status, 200);
    assert!(!response.whole, "the body must stay unterminated");
    assert!(!response.body.contains("[DONE]"));
    let last = events(&response.body).pop().expect("an event");
    assert_eq!(last["error"]["code"], "engine_failed");
    assert_eq!(last["error"]["verdict"], "may_have_run");
}

#[test]
fn an_incomplete_answer_is_reported_as_cut() {
    let callers = Callers::new(|request, answer, _| {
        let _ = answer.piece(piece(request.profile.id, 0, "half an", None));
        Verdict::Completed
    });
    let response = post(&callers, "", NON_STREAMING);
    assert_eq!(response.status, 502);
    assert_eq!(response.json()["error"]["code"], "answer_cut");
    assert_eq!(response.header("x-havengate-verdict"), Some("may_have_run"));
    assert_eq!(response.header("x-should-retry"), Some("false"));
}

#[test]
fn foreign_repeated_and_skipping_pieces_are_dropped_and_counted() {
    let callers = Callers::new(|request, answer, _| {
        let id = request.profile.id;
        let foreign = RequestId(id.0 ^ 1);
        let pieces = [
            piece(foreign, 0, "another's secret", Some(FinishReason::Stop)),
            piece(id, 0, "the right", None),
            piece(id, 0, "the right", None),
            piece(id, 5, " too early", None),
            piece(id, 2, " answer", Some(FinishReason::Stop)),
            piece(id, 3, " and more", None),
        ];
        pieces.into_iter().for_each(|piece| answer.piece(piece).expect("caller is connected"));
        Verdict::Completed
    });
    assert_eq!(post(&callers, "", NON_STREAMING).json()["choices"][0]["text"], "the right answer");
    for cause in ["foreign", "repeated", "gap", "after_end"] {
        callers.assert_metric(&format!("havengate_pieces_dropped_total{{cause=\"{cause}\"}} 1"));
    }
}

#[test]
fn an_answer_with_a_gap_is_reported_as_cut() {
    let callers = Callers::new(|request, answer, _| {
        let id = request.profile.id;
        answer.piece(piece(id, 0, "one", None)).expect("caller is connected");
        answer.piece(piece(id, 2, " three", Some(FinishReason::Stop))).expect("caller is connected");
        Verdict::Completed
    });
    let response = post(&callers, "", STREAMING);
    assert!(!response.whole && !response.body.contains("three") && !response.body.contains("[DONE]"));
}

#[test]
fn each_refusal_has_its_status_code_verdict_and_retry_delay() {
    let retry_delay = Duration::from_millis(2_500);
    let not_run = |reason| Verdict::NotRun(NotRun::new(reason));
    let may_have_run = Verdict::MayHaveRun;
    let cases = [
        (not_run(NotRunReason::TenantLimit), 429, "tenant_limit", Some("1")),
        (Verdict::NotRun(NotRun::retry_after(NotRunReason::QueueFull, retry_delay)), 503, "queue_full", Some("3")),
        (not_run(NotRunReason::NoEngine), 503, "no_engine", Some("1")),
        (not_run(NotRunReason::DeadlineUnreachable), 503, "deadline_unreachable", Some("1")),
        (not_run(NotRunReason::DeadlinePassed), 504, "deadline_passed", None),
        (not_run(NotRunReason::KeyInProgress), 409, "key_in_progress", Some("1")),
        (not_run(NotRunReason::KeyUnclaimable), 503, "key_unclaimable", Some("1")),
        (may_have_run(MayHaveRun::KeyUsed), 409, "key_used", None),
        (may_have_run(MayHaveRun::DeadlinePassed), 504, "deadline_passed", None),
        (may_have_run(MayHaveRun::DispatcherLost), 502, "dispatcher_lost", None),
    ];
    for (verdict, status, code, retry_after) in cases {
        let verdict_code = verdict.code();
        let callers = Callers::new(move |_, _, _| verdict.clone());
        for body in [NON_STREAMING, STREAMING] {
            let response = post(&callers, "", body);
            assert_eq!((response.status, response.header("retry-after")), (status, retry_after), "{code}");
            assert_eq!(response.header("x-havengate-verdict"), Some(verdict_code), "{code}");
            assert_eq!(response.json()["error"]["verdict"], verdict_code, "{code}");
            assert_eq!(response.json()["error"]["code"], code);
        }
        callers.assert_metric(&format!("verdict=\"{verdict_code}\",reason=\"{code}\"}} 2"));
    }
}

#[test]
fn a_request_that_has_begun_is_never_reported_as_not_run() {
    let callers = Callers::new(|request, answer, _| {
        let _ = answer.piece(piece(request.profile.id, 0, "begun", None));
        Verdict::NotRun(NotRun::new(NotRunReason::Revoked))
    });
    assert_eq!(post(&callers, "", NON_STREAMING).header("x-havengate-verdict"), Some("may_have_run"));
}

#[test]
fn a_replayed_answer_has_the_replayed_header() {
    let callers = Callers::new(|request, answer, hang_up| {
        answer.replayed();
        approve(request, answer, hang_up)
    });
    for body in [NON_STREAMING, STREAMING] {
        let response = post(&callers, "idempotency-key: ticket 17\r\n", body);
        assert_eq!((response.status, response.header("x-havengate-replayed")), (200, Some("true")));
    }
    assert_eq!(post(&Callers::new(approve), "", NON_STREAMING).header("x-havengate-replayed"), None);
}

#[test]
fn headers_and_body_set_the_request_profile() {
    let plain = submitted_request("", NON_STREAMING).profile;
    assert_eq!((plain.tenant.as_str(), plain.contract.as_str()), ("press", "verdict"));
    assert_eq!((plain.prompt_tokens, plain.priority, plain.key), (3, 7, None));
    assert_eq!(plain.time_left, Duration::from_secs(60));
    let headers = "idempotency-key: ticket 17\r\nx-request-deadline: 1500ms\r\nx-request-priority: 3\r\n";
    let customized =
        submitted_request(headers, r#"{"model": "lekh-model", "prompt": ["x"], "max_tokens": 9, "temperature": 0.5}"#);
    let key = customized.profile.key.expect("a key");
    assert_eq!((key.tenant.as_str(), key.key.as_str()), ("press", "ticket 17"));
    assert_eq!((customized.profile.max_output_tokens, customized.profile.priority), (9, 3));
    assert_eq!(customized.profile.time_left, Duration::from_millis(1_500));
    let contract =
        submitted_request("x-request-contract: ticket\r\nx-request-priority: 200\r\n", NON_STREAMING).profile;
    assert_eq!((contract.contract.as_str(), contract.priority), ("ticket", 0), "a caller can't raise its priority");
}

#[test]
fn a_requested_contract_must_not_exceed_the_tenants_priority() {
    let same = submitted_request("x-request-contract: proof\r\n", NON_STREAMING).profile;
    assert_eq!((same.contract.as_str(), same.priority), ("proof", 7));
    let own = submitted_request("x-request-contract: verdict\r\n", NON_STREAMING).profile;
    assert_eq!((own.contract.as_str(), own.priority), ("verdict", 7));

    let callers = Callers::new(|_, _, _| panic!("a refused request is not submitted"));
    for lowered in ["", "x-request-priority: 0\r\n"] {
        let headers = format!("{KEY}x-request-contract: release-night\r\n{lowered}");
        let refused = callers.client().post("/v1/completions", &headers, NON_STREAMING);
        let error = &refused.json()["error"];
        assert_eq!(
            (refused.status, &error["code"], &error["verdict"]),
            (400, &json!("invalid_request"), &json!("not_run"))
        );
        let message = error["message"].as_str().expect("a message");
        assert!(message.contains("`release-night`") && message.contains("`verdict`"), "{message}");
    }
}

#[test]
fn each_request_has_a_unique_id() {
    let callers = Callers::new(approve);
    let mut client = callers.client();
    let mut ids: Vec<String> = (0..20)
        .map(|_| {
            let response = client.post("/v1/completions", KEY, NON_STREAMING);
            response.header("x-request-id").expect("a request ID").to_owned()
        })
        .collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 20);
}

#[test]
fn models_are_listed_for_tenants_only() {
    let callers = Callers::new(approve);
    let mut client = callers.client();
    client.send(format!("GET /v1/models HTTP/1.1\r\nhost: test\r\n{KEY}\r\n"));
    assert_eq!(client.response().json()["data"][0]["id"], "lekh-model");
    assert_eq!(client.get("/v1/models").status, 401);
}

#[test]
fn a_node_that_is_not_ready_refuses_at_once() {
    for (readiness, code) in [
        (Readiness::Leaving, "node_leaving"),
        (Readiness::Suspended, "node_suspended"),
        (Readiness::Starting, "node_suspended"),
    ] {
        let callers = Callers::with(readiness, HttpServerConfig::default(), |_, _, _| panic!("must not be submitted"));
        let response = post(&callers, "", NON_STREAMING);
        assert_eq!((response.status, response.header("retry-after")), (503, Some("1")));
        assert_eq!(response.header("x-havengate-verdict"), Some("not_run"));
        assert_eq!(response.json()["error"]["code"], code);
    }
}

#[test]
fn a_node_that_is_not_ready_does_not_report_unknown_keys() {
    let callers =
        Callers::with(Readiness::Starting, HttpServerConfig::default(), |_, _, _| panic!("must not be submitted"));
    let key_of_a_newer_configuration = "authorization: Bearer not-known-here\r\n";
    let refused = callers.client().post("/v1/completions", key_of_a_newer_configuration, NON_STREAMING);
    assert_eq!((refused.status, refused.json()["error"]["code"].as_str()), (503, Some("node_suspended")));
    assert_eq!(callers.client().get("/v1/models").status, 503);
}

#[test]
fn a_request_whose_handler_panics_may_have_run_and_is_counted() {
    let callers = Callers::new(|_, _, _| panic!("panic expected by the test"));
    let response = post(&callers, "", NON_STREAMING);
    assert_eq!((response.status, response.header("x-havengate-verdict")), (500, Some("may_have_run")));
    assert_eq!(response.json()["error"]["code"], "handler_failed");
    callers.assert_metric("verdict=\"may_have_run\",reason=\"answer_cut\"} 1");
    callers.assert_metric("havengate_streams_open 0");
}

#[test]
fn a_disconnect_is_signalled_to_the_handler() {
    let (sender, receiver) = unbounded();
    let callers = Callers::new(move |_, _, hang_up| {
        sender.send(hang_up.clone()).expect("test is receiving");
        let _ = hang_up.over().recv_timeout(PATIENCE);
        Verdict::MayHaveRun(MayHaveRun::CallerGone)
    });
    let mut client: RawClient = callers.client();
    client.send_post("/v1/completions", KEY, NON_STREAMING);
    let hang_up = receiver.recv_timeout(PATIENCE).expect("submitted");
    client.hang_up();
    assert!(hang_up.over().recv_timeout(PATIENCE).is_err_and(|error| error.is_disconnected()));
    assert!(hang_up.is_set());
}

#[test]
fn a_drain_waits_for_open_streams() {
    let (finish, wait) = bounded::<()>(0);
    let callers = Arc::new(Callers::new(move |request, answer, hang_up| {
        wait.recv_timeout(PATIENCE).expect("released by the test");
        approve(request, answer, hang_up)
    }));
    let mut client = callers.client();
    client.send_post("/v1/completions", KEY, STREAMING);
    let open = || callers.metrics.streams_open.get();
    while open() == 0 {
        std::thread::yield_now();
    }
    let drained = Arc::clone(&callers);
    let drain = std::thread::spawn(move || drained.server.drain(PATIENCE));
    while TcpStream::connect(callers.server.local_address()).is_ok() {
        std::thread::yield_now();
    }
    assert!(!drain.is_finished(), "a stream is open");
    finish.send_timeout((), PATIENCE).expect("handler waits");
    let response = client.response();
    assert!(response.whole && response.body.ends_with("data: [DONE]\n\n"));
    assert_eq!(drain.join().expect("no panic"), Ok(()));
}
