//! Tests that the callers' API answers bad input with a 4xx status and the verdict `not_run`, and keeps serving.

mod callers_support;
mod http_server_support;

use std::time::Duration;

use callers_support::{Callers, KEY, approve};
use havengate_node::callers::Readiness;
use havengate_node::http_server::HttpServerConfig;
use http_server_support::{RawClient, RawResponse};

const VALID: &str = r#"{"model": "lekh-model", "prompt": "check"}"#;

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
    assert_eq!(callers.client().post("/v1/completions", KEY, VALID).status, 200);
}

/// Sends each body to `path` and checks that it is refused as invalid.
fn assert_invalid(path: &str, bodies: &[&str]) {
    let callers = callers();
    let mut client = callers.client();
    for body in bodies {
        assert_refused(&client.post(path, KEY, body), 400, "invalid_request", body);
    }
    assert_serves(&callers);
}

#[test]
fn malformed_bodies_are_refused() {
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
fn fields_of_the_wrong_type_are_refused() {
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
            VALID,
            r#"{"model": "lekh-model", "messages": []}"#,
            r#"{"model": "lekh-model", "messages": [{"role": "user"}]}"#,
            r#"{"model": "lekh-model", "messages": [{"role": "user", "content": [{"type": "image_url"}]}]}"#,
        ],
    );
}

#[test]
fn token_limits_out_of_range_are_refused() {
    let body = |value: &str| format!(r#"{{"model": "lekh-model", "prompt": "x", "max_tokens": {value}}}"#);
    let bodies = ["-1", "0", "1.5", "16385", "4294967295", "99999999999999999999", "1e9"].map(body);
    assert_invalid("/v1/completions", &bodies.each_ref().map(String::as_str));
}

#[test]
fn unsupported_and_unknown_fields_are_refused() {
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
fn a_prompt_beyond_the_kv_capacity_is_refused() {
    let prompt = "word ".repeat(50_000);
    let body = format!(r#"{{"model": "lekh-model", "prompt": "{prompt}"}}"#);
    assert_invalid("/v1/completions", &[&body]);
}

#[test]
fn deeply_nested_json_is_refused() {
    let nested = format!(r#"{{"model": "lekh-model", "prompt": {}"#, "[".repeat(100_000));
    assert_invalid("/v1/completions", &[&nested]);
}

#[test]
fn unknown_models_and_contracts_are_refused() {
    let callers = callers();
    let mut client = callers.client();
    let unknown = client.post("/v1/completions", KEY, r#"{"model": "gpt-9", "prompt": "x"}"#);
    assert_refused(&unknown, 404, "unknown_model", "model");
    let contract = client.post("/v1/completions", &format!("{KEY}x-request-contract: gold\r\n"), VALID);
    assert_refused(&contract, 400, "invalid_request", "contract");
    assert_serves(&callers);
}

#[test]
fn unknown_and_missing_api_keys_are_refused() {
    let callers = callers();
    let mut client = callers.client();
    for headers in ["", "authorization: Bearer wrong\r\n", "authorization: Basic press-key\r\n", "authorization: x\r\n"]
    {
        let response = client.post("/v1/completions", headers, VALID);
        assert_refused(&response, 401, "unknown_tenant", headers);
    }
    assert_serves(&callers);
}

#[test]
fn invalid_header_values_are_refused() {
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
        let response = client.post("/v1/completions", &format!("{KEY}{case}\r\n"), VALID);
        assert_refused(&response, 400, "invalid_request", case);
    }
    assert_serves(&callers);
}

#[test]
fn unknown_paths_and_methods_are_refused() {
    let callers = callers();
    let mut client = callers.client();
    assert_refused(&client.get("/"), 404, "unknown_path", "/");
    assert_refused(&client.post("/v1/embeddings", KEY, VALID), 404, "unknown_path", "embeddings");
    let get = client.get("/v1/completions");
    assert_refused(&get, 405, "method_not_allowed", "GET");
    assert_eq!(get.header("allow"), Some("POST"));
    client.send("BREW /v1/models HTTP/1.1\r\nhost: test\r\n\r\n");
    assert_refused(&client.response(), 405, "method_not_allowed", "BREW");
    assert_serves(&callers);
}

#[test]
fn oversized_bodies_are_refused() {
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
fn slow_requests_time_out() {
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
fn oversized_headers_are_refused() {
    let callers = callers();
    let many: String = (0..10_000).map(|index| format!("x-{index}: y\r\n")).collect();
    let long = format!("x-long: {}\r\n", "y".repeat(1_000_000));
    for headers in [many, long] {
        assert_eq!(callers.client().post("/v1/completions", &headers, VALID).status, 431);
    }
    assert_serves(&callers);
}

#[test]
fn requests_beyond_the_thread_limit_are_refused() {
    let (release, wait) = crossbeam::channel::bounded::<()>(0);
    let config = HttpServerConfig { requests_maximum: 1, ..HttpServerConfig::default() };
    let callers = Callers::with(Readiness::Ready, config, move |request, answer, hang_up| {
        let _ = wait.recv();
        approve(request, answer, hang_up)
    });
    let mut first = callers.client();
    first.send_post("/v1/completions", KEY, VALID);
    while callers.metrics.streams_open.get() == 0 {
        std::thread::yield_now();
    }
    let refused = callers.client().post("/v1/completions", KEY, VALID);
    assert_refused(&refused, 503, "too_many_requests", "beyond the thread limit");
    assert_eq!(refused.header("retry-after"), Some("1"));
    drop(release);
    assert_eq!(first.response().status, 200);
}
