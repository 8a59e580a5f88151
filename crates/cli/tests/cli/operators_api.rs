//! The commands that talk to a node, against fixed answers: what is asked, what is printed, and the exit codes.

use std::io::{BufRead, BufReader};
use std::process::Stdio;
use std::time::Duration;

use crate::support::{FakeNode, TemporaryFile, command, run, run_at};
use havengate_core::claims::MapVersion;
use havengate_core::configuration::{ConfigurationVersion, PolicyChoice};
use havengate_core::world::{Address, EngineName, EngineRole, ModelName, PolicyName, TenantName, ZoneName};
use havengate_node::callers::Readiness;
use havengate_node::operators::{
    AdmissionStatus, ClaimStatus, ConfigurationStatus, ConfirmAnswer, DrainAnswer, EngineOutage, EngineStatus,
    GoodputPrediction, MemberStatus, NodeStatus, OperatorError, OperatorErrorCode, PlanAnswer, PlanId, PlanList,
    PlanState, PoliciesAnswer, PolicyDescription, PolicyParameter, PoolStatus, PredictionBasis, StatusAnswer,
    TenantStatus,
};
use serde_json::json;

const NODE: &str = "127.0.0.1:21301";
const MISSING: &str = "127.0.0.1:21302";

fn address(text: &str) -> Address {
    text.parse().expect("an address")
}

fn status() -> StatusAnswer {
    let engine = EngineStatus {
        name: EngineName::from("lekh-model-01"),
        zone: ZoneName::from("patan"),
        role: EngineRole::Prefill,
        availability: Some("draining".to_owned()),
        state: Some("draining".to_owned()),
        in_flight: Some(3),
        fence: None,
        order: None,
    };
    let member = MemberStatus {
        address: address(MISSING),
        incarnation: Default::default(),
        zone: ZoneName::from("thamel"),
        state: "suspect".to_owned(),
        configuration: Some(ConfigurationVersion(6)),
    };
    let claims =
        ClaimStatus { slot_map: MapVersion(3), slots_held: 12, slots_voting: 11, records: 40, answer_bytes: 900 };
    let tenant = TenantStatus { tenant: TenantName::from("press"), permits_in_use: 6 };
    StatusAnswer {
        node: NodeStatus {
            address: address(NODE),
            incarnation: Default::default(),
            zone: ZoneName::from("patan"),
            version: "0.1.0".to_owned(),
            uptime: Duration::from_secs(61),
            readiness: Readiness::Ready,
            open_streams: 12,
            store_last_seen: None,
        },
        configuration: ConfigurationStatus {
            version: ConfigurationVersion(6),
            pending: Some(ConfigurationVersion(7)),
            waiting_for: vec![address(MISSING)],
            missing_zones: vec![ZoneName::from("kirtipur")],
        },
        members: vec![member],
        pools: vec![PoolStatus {
            pool: "lekh-model/kathmandu-valley/0".to_owned(),
            model: ModelName::from("lekh-model"),
            owner: Some(address(NODE)),
            term: None,
            waiting: Some(4),
            engines: vec![engine],
        }],
        admission: AdmissionStatus { claims, tenants: vec![tenant] },
    }
}

fn plan() -> PlanAnswer {
    PlanAnswer {
        id: PlanId("4be1".to_owned()),
        state: PlanState::Proposed,
        base: ConfigurationVersion(6),
        changes: vec!["engine lekh-model-01: role mixed -> prefill".to_owned()],
        outages: vec![EngineOutage {
            engine: EngineName::from("lekh-model-01"),
            cause: "role mixed -> prefill".to_owned(),
            duration: Duration::from_secs(4),
        }],
        prediction: Some(GoodputPrediction {
            basis: PredictionBasis::Measured,
            tokens_per_second_before: 900.0,
            tokens_per_second_after: 1_200.4,
        }),
    }
}

fn policies() -> PoliciesAnswer {
    let parameter = PolicyParameter {
        name: "hold".to_owned(),
        default: 30.0,
        description: "seconds between two changes".to_owned(),
    };
    PoliciesAnswer {
        role_policies: vec![PolicyDescription {
            name: PolicyName::from("hysteresis"),
            summary: "follows demand".to_owned(),
            parameters: vec![parameter],
        }],
        role_policy: Some(PolicyChoice::with_defaults("hysteresis")),
        ..PoliciesAnswer::default()
    }
}

/// Runs `arguments` at `node`, expects success and each of `expected` in what is printed.
#[track_caller]
fn assert_prints(node: &FakeNode, arguments: &[&str], expected: &[&str]) {
    let shown = run_at(node, arguments);
    assert_eq!(shown.code, 0, "{shown:?}");
    for part in expected {
        assert!(shown.output.contains(part), "{part:?} is not in:\n{}", shown.output);
    }
}

#[test]
fn status_shows_members_pools_engines_and_what_is_pending() {
    let node = FakeNode::answering(200, &status());
    let expected = [
        "node 127.0.0.1:21301 in patan, the node takes requests",
        "up 1m 1s",
        "12 open streams, store not heard of here",
        "configuration 6 in force here, 7 pending, waiting for: 127.0.0.1:21302, zone kirtipur (can't be reached)\n",
        "127.0.0.1:21302  thamel  suspect  configuration 6",
        "slot map 3, 12 slots held, 11 voting, 40 keys remembered\npermits in use: press 6\n",
        "pool lekh-model/kathmandu-valley/0, owner 127.0.0.1:21301, term -, 4 waiting",
        "lekh-model-01  patan  prefill  draining  3          -      -",
    ];
    assert_prints(&node, &["status"], &expected);
    assert_eq!(node.received()[0].line, "GET /status");
}

#[test]
fn a_zone_that_would_hold_up_a_change_is_named_before_one_is_made() {
    let mut quiet = status();
    quiet.configuration.pending = None;
    let node = FakeNode::answering(200, &quiet);
    let expected = "configuration 6 in force here; a change would wait for: zone kirtipur (can't be reached)\n";
    assert_prints(&node, &["status"], &[expected]);
}

#[test]
fn engines_of_a_pool_that_another_node_owns_are_counted() {
    let mut seen_from_elsewhere = status();
    let pool = &mut seen_from_elsewhere.pools[0];
    (pool.engines[0].availability, pool.engines[0].in_flight, pool.waiting) = (None, None, None);
    let mut second = pool.engines[0].clone();
    second.role = EngineRole::Mixed;
    pool.engines.push(second);
    let node = FakeNode::answering(200, &seen_from_elsewhere);
    assert_prints(&node, &["status"], &["term -, - waiting\n1 prefill, 1 mixed; the owner knows more"]);
}

#[test]
fn json_output_is_the_answer_itself() {
    let node = FakeNode::answering(200, &status());
    let shown = run_at(&node, &["status", "--format", "json"]);
    let answer: StatusAnswer = serde_json::from_str(&shown.output).expect("the node's answer");
    assert_eq!(answer, status());
}

#[test]
fn the_node_can_come_from_the_environment() {
    let node = FakeNode::answering(200, &status());
    let shown = command(&["status"]).env("HAVENGATE_NODE", node.address()).output().expect("the binary runs");
    assert_eq!(shown.status.code(), Some(0));
    assert_eq!(node.received().len(), 1);
}

#[test]
fn watching_goes_on_until_the_reader_is_gone() {
    let node = FakeNode::answering(200, &status());
    let arguments = ["status", "--watch", "--interval", "20ms", "--format", "json", "--node", node.address()];
    let mut watching = command(&arguments);
    let mut watching = watching.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("the binary runs");
    let mut lines = BufReader::new(watching.stdout.take().expect("a pipe")).lines();
    for _ in 0..3 {
        let line = lines.next().expect("another status").expect("a line");
        let answer: StatusAnswer = serde_json::from_str(&line).expect("one answer a line");
        assert_eq!(answer, status());
    }
    drop(lines);
    let end = watching.wait_with_output().expect("an end");
    assert_eq!((end.status.code(), end.stderr.as_slice()), (Some(0), b"".as_slice()));
}

#[test]
fn an_intent_is_sent_as_it_is_written_and_its_plan_printed() {
    let node = FakeNode::answering(200, &plan());
    let text = "[[roles]]\nmodel = \"lekh-model\"\nprefill = 4\nmixed = 8\n";
    let file = TemporaryFile::new("intent.toml", text);
    let expected = [
        "plan 4be1, proposed, on configuration 6",
        "engine lekh-model-01: role mixed -> prefill",
        "  lekh-model-01  4s   role mixed -> prefill",
        "900 tokens/s before, 1200 tokens/s after (by the demand of the last seconds)\n",
        "havengate confirm 4be1",
    ];
    assert_prints(&node, &["intent", file.path()], &expected);
    let received = node.received();
    assert_eq!(received[0].line, "POST /intents");
    assert_eq!(received[0].body, json!({"roles": [{"model": "lekh-model", "prefill": 4, "mixed": 8}]}));
}

#[test]
fn a_prediction_tells_what_it_rests_on() {
    for (basis, expected) in [
        (PredictionBasis::Capacity, "after (by the engines' capacity: this node does not know the demand)"),
        (
            PredictionBasis::Mixed,
            "after (by the demand of the last seconds where this node knows it, else by capacity)",
        ),
    ] {
        let mut shown = plan();
        shown.prediction = shown.prediction.map(|prediction| GoodputPrediction { basis, ..prediction });
        assert_prints(&FakeNode::answering(200, &shown), &["plan", "show", "4be1"], &[expected]);
    }
    let unchanged = PlanAnswer { prediction: None, ..plan() };
    let expected = "predicted goodput: as before, since no model and no engine changes";
    assert_prints(&FakeNode::answering(200, &unchanged), &["plan", "show", "4be1"], &[expected]);
}

#[test]
fn an_intent_with_a_mistake_is_not_sent_and_the_line_is_named() {
    let node = FakeNode::answering(200, &plan());
    for (text, expected) in [("[[roles]\n", "line 1"), ("\n[[roles]]\nmodle = \"x\"\n", "line 3, column 1")] {
        let file = TemporaryFile::new("no-intent.toml", text);
        let failed = run_at(&node, &["intent", file.path()]);
        assert_eq!(failed.code, 2, "{failed:?}");
        assert!(failed.errors.contains(expected), "{failed:?}");
    }
    assert_eq!(node.received(), []);
}

#[test]
fn plans_are_listed_and_shown() {
    let list = FakeNode::answering(200, &PlanList { plans: vec![plan()] });
    assert_prints(&list, &["plan", "list"], &["PLAN", "4be1  proposed  6     1        1"]);
    assert_eq!(list.received()[0].line, "GET /plans");

    let one = FakeNode::answering(200, &plan());
    assert_eq!(run_at(&one, &["plan", "show", "4be1"]).code, 0);
    assert_eq!(run_at(&one, &["plan", "show", "../drain?x"]).code, 0);
    let lines: Vec<String> = one.received().into_iter().map(|request| request.line).collect();
    assert_eq!(lines, ["GET /plans/4be1", "GET /plans/%2E%2E%2Fdrain%3Fx"]);
}

#[test]
fn confirming_tells_in_force_pending_and_unknown_apart() {
    let version = ConfigurationVersion(7);
    let pending = |waiting_for| ConfirmAnswer::Pending { version, waiting_for, missing_zones: Vec::new() };
    let missing_zones = vec![ZoneName::from("kirtipur")];
    let cut_off = ConfirmAnswer::Pending { version, waiting_for: Vec::new(), missing_zones };
    for (answer, code, expected) in [
        (ConfirmAnswer::InForce { version }, 0, "configuration 7 is in force everywhere"),
        (pending(vec![address(MISSING)]), 4, "configuration 7 waits for: 127.0.0.1:21302"),
        (cut_off, 4, "configuration 7 waits for: zone kirtipur (can't be reached)"),
        (pending(Vec::new()), 4, "configuration 7 waits for: the store or a zone"),
        (ConfirmAnswer::Unknown, 3, "may have taken effect"),
    ] {
        let node = FakeNode::answering(200, &answer);
        let confirmed = run_at(&node, &["confirm", "4be1", "--wait", "250ms"]);
        assert_eq!(confirmed.code, code, "{confirmed:?}");
        assert!(confirmed.output.contains(expected), "{confirmed:?}");
        let received = node.received();
        assert_eq!(received[0].line, "POST /plans/4be1/confirm");
        assert_eq!(received[0].body, json!({"wait": "250ms"}));
    }
}

#[test]
fn refusals_have_exit_codes_of_their_own() {
    for (status, refusal, code) in [
        (409, OperatorErrorCode::StalePlan, 5),
        (404, OperatorErrorCode::UnknownPlan, 1),
        (400, OperatorErrorCode::InvalidRequest, 2),
        (503, OperatorErrorCode::StoreUnavailable, 1),
    ] {
        let node = FakeNode::answering(status, &OperatorError::new(refusal, "the reason"));
        let refused = run_at(&node, &["confirm", "4be1", "--format", "json"]);
        assert_eq!(refused.code, code, "{refused:?}");
        assert_eq!(refused.output, "");
        let body: serde_json::Value = serde_json::from_str(&refused.errors).expect("JSON");
        assert_eq!(body, json!({"code": serde_json::to_value(refusal).expect("a code"), "message": "the reason"}));
    }
}

#[test]
fn policies_are_listed_with_their_parameters() {
    let node = FakeNode::answering(200, &policies());
    let expected = [
        "role policy in force: hysteresis",
        "hysteresis: follows demand",
        "hold (default 30): seconds between two changes",
    ];
    assert_prints(&node, &["policy", "list"], &expected);
}

#[test]
fn drain_is_asked_of_the_node() {
    let node = FakeNode::answering(200, &DrainAnswer { open_streams: 5 });
    assert_prints(&node, &["drain"], &["5 open streams"]);
    assert_eq!(node.received()[0].line, "POST /drain");
}

#[test]
fn without_an_answer_the_exit_code_is_3_and_it_is_said_whether_something_may_have_happened() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let unused = listener.local_addr().expect("an address").to_string();
    drop(listener);
    let unreachable = run(&["confirm", "4be1", "--node", &unused]);
    assert_eq!(unreachable.code, 3, "{unreachable:?}");
    assert!(unreachable.errors.contains("nothing has happened"), "{unreachable:?}");

    let silent = FakeNode::silent();
    let unanswered = run_at(&silent, &["confirm", "4be1", "--wait", "50ms", "--timeout", "200ms"]);
    assert_eq!(unanswered.code, 3, "{unanswered:?}");
    assert!(unanswered.errors.contains("may have happened"), "{unanswered:?}");
    assert_eq!(silent.received().len(), 1, "a confirmation is not sent twice");
}

#[test]
fn an_answer_that_is_not_the_api_is_no_answer() {
    for (status, body) in [(200, "<html>"), (200, "{}"), (502, "bad gateway")] {
        let node = FakeNode::answering_text(status, body);
        let failed = run_at(&node, &["status"]);
        assert_eq!(failed.code, 3, "{failed:?}");
        assert!(failed.errors.contains(&format!("status {status}")), "{failed:?}");
    }
}
