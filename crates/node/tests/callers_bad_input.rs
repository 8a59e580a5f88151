//! Bad input to the callers' API: each is a clear 4xx with the verdict `not_run`, and the API serves on.

mod callers_support;
mod http_server_support;

use std::time::Duration;

use callers_support::{Callers, KEY, approve};
use havengate_node::callers::Readiness;
use havengate_node::http_server::HttpServerConfig;
use http_server_support::{RawClient, RawResponse};

const GOOD: &str = r#"{"model": "lekh-model", "prompt": "check"}"#;

fn callers() -> Callers {
    let config = HttpServerConfig {
        head_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(300),
        ..HttpServerConfig::default()
    };
    Callers::with(Readiness::Ready, config, approve)
}

fn assert_refused(response: &RawResponse, status: u16, code: &str, case: &str) {
    assert_eq!(response.status, status, "{case}: {}", response.body);
    assert_eq!(response.json()["error"]["code"], code, "{case}");
    assert_eq!(response.json()["error"]["verdict"], "not_run", "{case}");
    assert_eq!(response.header("x-havengate-verdict"), Some("not_run"), "{case}");
    let message = response.json()["error"]["message"].as_str().map(str::len);
    assert!(message.is_some_and(|length| length > 0), "{case}");
}

fn assert_serves(callers: &Callers) {
    assert_eq!(callers.client().post("/v1/completions", KEY, GOOD).status, 200);
}

/// Sends each body to `path`; each must be refused as invalid.
fn assert_invalid(path: &str, bodies: &[&str]) {
    let callers = callers();
    let mut client = callers.client();
    for body in bodies {
        assert_refused(&client.post(path, KEY, body), 400, "invalid_request", body);
    }
    assert_serves(&callers);
}

#[test]
fn bodies_that_are_not_requests() {
    assert_invalid(
        "/v1/completions",
        &[
            "",
            "{",
            r#"{"model": "lekh-model", "prompt": "trunca"#,
            "[]",
            "null",
            "\u{1}",
            r#"{"model": "lekh-model"}"#,
            r#"{"prompt": "no model"}"#,
            r#"{"model": "lekh-model", "prompt": ""}"#,
            r#"{"model": "lekh-model", "prompt": "  \n "}"#,
            r#"{"model": "lekh-model", "prompt": "twice", "prompt": "given"}"#,
            r#"{"model": "lekh-model", "prompt": "x", "max_tokens": 5} trailing"#,
        ],
    );
}

#[test]
fn wrong_types() {
    assert_invalid(
        "/v1/completions",
        &[
            r#"{"model": 7, "prompt": "x"}"#,
            r#"{"model": "lekh-model", "prompt": 7}"#,
            r#"{"model": "lekh-model", "prompt": ["one", "two"]}"#,
            r#"{"model": "lekh-model", "prompt": [1, 2, 3]}"#,
            r#"{"model": "lekh-model", "prompt": "x", "stream": "yes"}"#,
            r#"{"model": "lekh-model", "prompt": "x", "max_tokens": "ten"}"#,
            r#"{"model": "lekh-model", "prompt": "x", "temperature": "hot"}"#,
            r#"{"model": "lekh-model", "messages": [{"role": "user", "content": "x"}]}"#,
        ],
    );
    assert_invalid(
        "/v1/chat/completions",
        &[
            GOOD,
            r#"{"model": "lekh-model", "messages": []}"#,
            r#"{"model": "lekh-model", "messages": [{"role": "user"}]}"#,
            r#"{"model": "lekh-model", "messages": [{"role": "user", "content": [{"type": "image_url"}]}]}"#,
        ],
    );
}

#[test]
fn negative_and_absurd_limits() {
    let body = |value: &str| format!(r#"{{"model": "lekh-model", "prompt": "x", "max_tokens": {value}}}"#);
    let bodies = ["-1", "0", "1.5", "16385", "4294967295", "99999999999999999999", "1e9"].map(body);
    assert_invalid("/v1/completions", &bodies.each_ref().map(String::as_str));
}

#[test]
fn fields_that_would_change_the_answer_and_have_no_effect() {
    assert_invalid(
        "/v1/completions",
        &[
            r#"{"model": "lekh-model", "prompt": "x", "n": 2}"#,
            r#"{"model": "lekh-model", "prompt": "x", "stop": ["."]}"#,
            r#"{"model": "lekh-model", "prompt": "x", "max_token": 5}"#,
        ],
    );
}

#[test]
fn a_prompt_that_no_engine_can_hold() {
    let prompt = "word ".repeat(50_000);
    let body = format!(r#"{{"model": "lekh-model", "prompt": "{prompt}"}}"#);
    assert_invalid("/v1/completions", &[&body]);
}

#[test]
fn json_nested_beyond_measure() {
    let nested = format!(r#"{{"model": "lekh-model", "prompt": {}"#, "[".repeat(100_000));
    assert_invalid("/v1/completions", &[&nested]);
}

#[test]
fn unknown_models_and_contracts() {
    let callers = callers();
    let mut client = callers.client();
    let unknown = client.post("/v1/completions", KEY, r#"{"model": "gpt-9", "prompt": "x"}"#);
    assert_refused(&unknown, 404, "unknown_model", "model");
    let contract = client.post("/v1/completions", &format!("{KEY}x-request-contract: gold\r\n"), GOOD);
    assert_refused(&contract, 400, "invalid_request", "contract");
    assert_serves(&callers);
}

#[test]
fn keys_that_belong_to_no_tenant() {
    let callers = callers();
    let mut client = callers.client();
    for headers in ["", "authorization: Bearer wrong\r\n", "authorization: Basic press-key\r\n", "authorization: x\r\n"]
    {
        let response = client.post("/v1/completions", headers, GOOD);
        assert_refused(&response, 401, "unknown_tenant", headers);
    }
    assert_serves(&callers);
}

#[test]
fn headers_out_of_range() {
    let callers = callers();
    let mut client = callers.client();
    let long_key = "k".repeat(256);
    let cases = [
        "x-request-deadline: soon".to_owned(),
        "x-request-deadline: 0s".to_owned(),
        "x-request-deadline: -5s".to_owned(),
        "x-request-deadline: 900 years".to_owned(),
        "x-request-deadline: 5s\r\nx-request-deadline: 6s".to_owned(),
        "x-request-priority: 256".to_owned(),
        "x-request-priority: -1".to_owned(),
        "x-request-priority: high".to_owned(),
        "idempotency-key: ".to_owned(),
        "idempotency-key: क".to_owned(),
        format!("idempotency-key: {long_key}"),
    ];
    for case in &cases {
        let response = client.post("/v1/completions", &format!("{KEY}{case}\r\n"), GOOD);
        assert_refused(&response, 400, "invalid_request", case);
    }
    assert_serves(&callers);
}

#[test]
fn unknown_paths_and_methods() {
    let callers = callers();
    let mut client = callers.client();
    assert_refused(&client.get("/"), 404, "unknown_path", "/");
    assert_refused(&client.post("/v1/embeddings", KEY, GOOD), 404, "unknown_path", "embeddings");
    let get = client.get("/v1/completions");
    assert_refused(&get, 405, "method_not_allowed", "GET");
    assert_eq!(get.header("allow"), Some("POST"));
    client.send("BREW /v1/models HTTP/1.1\r\nhost: test\r\n\r\n");
    assert_refused(&client.response(), 405, "method_not_allowed", "BREW");
    assert_serves(&callers);
}

#[test]
fn ten_megabytes_truncated_or_not() {
    let callers = callers();
    let body = format!(r#"{{"model": "lekh-model", "prompt": "{}"#, "x ".repeat(5_000_000));
    assert_refused(&callers.client().post("/v1/completions", KEY, &body), 413, "body_too_large", "10 MB");
    let mut chunked = callers.client();
    chunked.send(format!("POST /v1/completions HTTP/1.1\r\nhost: test\r\n{KEY}transfer-encoding: chunked\r\n\r\n"));
    chunked.send(format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()));
    assert_refused(&chunked.response(), 413, "body_too_large", "10 MB in chunks");
    assert_serves(&callers);
}

#[test]
fn slow_senders() {
    let callers = callers();
    let slow_clients: Vec<RawClient> = ["POST /v1/comp", "POST /v1/completions HTTP/1.1\r\ncontent-length: 9\r\n\r\n{"]
        .into_iter()
        .map(|start| {
            let mut client = callers.client();
            client.send(start);
            client
        })
        .collect();
    assert_serves(&callers);
    for (mut client, code) in slow_clients.into_iter().zip(["head_timeout", "body_timeout"]) {
        assert_refused(&client.response(), 408, code, code);
        assert!(client.is_closed());
    }
    assert_serves(&callers);
}

#[test]
fn header_floods() {
    let callers = callers();
    let many: String = (0..10_000).map(|index| format!("x-{index}: y\r\n")).collect();
    let long = format!("x-long: {}\r\n", "y".repeat(1_000_000));
    for flood in [many, long] {
        assert_eq!(callers.client().post("/v1/completions", &flood, GOOD).status, 431);
    }
    assert_serves(&callers);
}

#[test]
fn more_requests_than_threads() {
    let (release, wait) = crossbeam::channel::bounded::<()>(0);
    let config = HttpServerConfig { requests_maximum: 1, ..HttpServerConfig::default() };
    let callers = Callers::with(Readiness::Ready, config, move |request, answer, hang_up| {
        let _ = wait.recv();
        approve(request, answer, hang_up)
    });
    let mut first = callers.client();
    first.send_post("/v1/completions", KEY, GOOD);
    while callers.metrics.streams_open.get() == 0 {
        std::thread::yield_now();
    }
    let refused = callers.client().post("/v1/completions", KEY, GOOD);
    assert_refused(&refused, 503, "too_many_requests", "beyond the threads");
    assert_eq!(refused.header("retry-after"), Some("1"));
    drop(release);
    assert_eq!(first.response().status, 200);
}
