//! The operators' API over a socket, with a handler that answers from fixed values.

mod http_server_support;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use havengate_core::claims::MapVersion;
use havengate_core::configuration::ConfigurationVersion;
use havengate_core::membership::Incarnation;
use havengate_core::world::{EngineName, EngineRole, ModelName, TenantName, ZoneName};
use havengate_node::callers::Readiness;
use havengate_node::http_server::{HttpServer, HttpServerConfig, HttpServerHandle};
use havengate_node::metrics::{CauseLabel, Metrics};
use havengate_node::operators::{
    AdmissionStatus, ClaimStatus, ConfigurationStatus, ConfirmAnswer, ConfirmRequest, DrainAnswer, EngineStatus,
    HealthAnswer, IntentDocument, MemberStatus, NodeStatus, OperatorApi, OperatorError, OperatorErrorCode,
    OperatorHandler, PlanAnswer, PlanId, PlanList, PlanState, PoliciesAnswer, PoolStatus, StatusAnswer, TenantStatus,
};
use havengate_node::peers::LinkCounters;
use http_server_support::RawClient;
use serde::de::DeserializeOwned;
use serde_json::json;

const PLAN: &str = "plan-1";

/// Knows one plan; remembers the intents and confirmations that reached it.
#[derive(Default)]
struct FakeOperations {
    intents: Mutex<Vec<IntentDocument>>,
    confirmations: Mutex<Vec<ConfirmRequest>>,
}

fn plan() -> PlanAnswer {
    PlanAnswer {
        id: PlanId(PLAN.to_owned()),
        state: PlanState::Proposed,
        base: ConfigurationVersion(4),
        changes: vec!["role of lekh-model-03".to_owned()],
        outages: Vec::new(),
        prediction: None,
    }
}

fn status() -> StatusAnswer {
    StatusAnswer {
        node: NodeStatus {
            address: "10.0.0.1:7000".parse().expect("an address"),
            incarnation: Incarnation(9),
            zone: ZoneName::from("patan"),
            version: "0.1.0".to_owned(),
            uptime: Duration::from_secs(61),
            readiness: Readiness::Ready,
            open_streams: 3,
            store_last_seen: Some(Duration::from_millis(250)),
        },
        configuration: ConfigurationStatus { version: ConfigurationVersion(4), ..ConfigurationStatus::default() },
        members: vec![member("10.0.0.1:7000", "alive"), member("10.0.0.2:7000", "alive")],
        pools: vec![pool("own", Some(5)), pool("another's", None)],
        admission: admission(),
    }
}

fn admission() -> AdmissionStatus {
    let claims =
        ClaimStatus { slot_map: MapVersion(3), slots_held: 12, slots_voting: 11, records: 40, answer_bytes: 900 };
    AdmissionStatus { claims, tenants: vec![TenantStatus { tenant: TenantName::from("press"), permits_in_use: 6 }] }
}

fn member(address: &str, state: &str) -> MemberStatus {
    MemberStatus {
        address: address.parse().expect("an address"),
        incarnation: Incarnation(9),
        zone: ZoneName::from("patan"),
        state: state.to_owned(),
        configuration: None,
    }
}

fn pool(name: &str, waiting: Option<u32>) -> PoolStatus {
    let engine = |name: &str| EngineStatus {
        name: EngineName::from(name),
        zone: ZoneName::from("patan"),
        role: EngineRole::Mixed,
        availability: None,
        in_flight: waiting.map(|_| 2),
        fence: None,
        order: None,
        state: None,
    };
    PoolStatus {
        pool: name.to_owned(),
        model: ModelName::from("lekh-model"),
        owner: None,
        term: None,
        waiting,
        engines: vec![engine("one"), engine("two")],
    }
}

impl OperatorHandler for FakeOperations {
    fn status(&self) -> StatusAnswer {
        status()
    }

    fn health(&self) -> HealthAnswer {
        HealthAnswer { ok: true, reason: None }
    }

    fn ready(&self) -> HealthAnswer {
        HealthAnswer { ok: false, reason: Some("the node is leaving".to_owned()) }
    }

    fn propose(&self, intent: IntentDocument) -> Result<PlanAnswer, OperatorError> {
        self.intents.lock().expect("no panic").push(intent);
        Ok(plan())
    }

    fn plans(&self) -> Result<PlanList, OperatorError> {
        Err(OperatorError::new(OperatorErrorCode::StoreUnavailable, "the store does not answer"))
    }

    fn plan(&self, id: &PlanId) -> Result<PlanAnswer, OperatorError> {
        let unknown = || OperatorError::new(OperatorErrorCode::UnknownPlan, format!("there is no plan `{id}`"));
        if id.0 == PLAN { Ok(plan()) } else { Err(unknown()) }
    }

    fn confirm(&self, id: &PlanId, request: ConfirmRequest) -> Result<ConfirmAnswer, OperatorError> {
        if id.0 != PLAN {
            return Err(OperatorError::new(OperatorErrorCode::StalePlan, "another change came first"));
        }
        self.confirmations.lock().expect("no panic").push(request);
        Ok(ConfirmAnswer::InForce { version: ConfigurationVersion(5) })
    }

    fn policies(&self) -> PoliciesAnswer {
        PoliciesAnswer::default()
    }

    fn drain(&self) -> DrainAnswer {
        DrainAnswer { open_streams: 3 }
    }
}

struct Operators {
    server: HttpServerHandle,
    operations: Arc<FakeOperations>,
    metrics: Arc<Metrics>,
    counters: Arc<LinkCounters>,
}

impl Operators {
    fn new() -> Self {
        let operations = Arc::new(FakeOperations::default());
        let counters = Arc::new(LinkCounters::default());
        let metrics = Arc::new(Metrics::with_link_counters(Arc::clone(&counters)));
        let handler: Arc<dyn OperatorHandler> = Arc::<FakeOperations>::clone(&operations);
        let api = Arc::new(OperatorApi::new(handler, Arc::clone(&metrics)));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let config = HttpServerConfig { requests_maximum: 8, ..HttpServerConfig::default() };
        Operators { server: HttpServer::bind(any, config, api).expect("binds"), operations, metrics, counters }
    }

    fn client(&self) -> RawClient {
        RawClient::connect(self.server.local_address())
    }

    /// The status of a call and its body, read as the command line reads it.
    fn call<Answer: DeserializeOwned>(&self, method: &str, path: &str, body: &str) -> (u16, Answer) {
        let mut client = self.client();
        let length = body.len();
        client.send(format!("{method} {path} HTTP/1.1\r\nhost: test\r\ncontent-length: {length}\r\n\r\n{body}"));
        let response = client.response();
        (response.status, serde_json::from_str(&response.body).expect("the documented answer"))
    }

    fn refusal(&self, method: &str, path: &str, body: &str) -> (u16, OperatorErrorCode) {
        let (status, error) = self.call::<OperatorError>(method, path, body);
        assert!(!error.message.is_empty());
        (status, error.code)
    }
}

#[test]
fn status_survives_the_way_to_the_command_line() {
    assert_eq!(Operators::new().call::<StatusAnswer>("GET", "/status", ""), (200, status()));
}

#[test]
fn health_and_readiness_are_told_by_the_status() {
    let operators = Operators::new();
    assert_eq!(operators.call::<HealthAnswer>("GET", "/health", "").0, 200);
    let (status, ready) = operators.call::<HealthAnswer>("GET", "/ready", "");
    assert_eq!((status, ready.ok, ready.reason.as_deref()), (503, false, Some("the node is leaving")));
}

#[test]
fn metrics_are_text_for_prometheus() {
    let operators = Operators::new();
    operators.metrics.pieces_dropped.get_or_create(&CauseLabel { cause: "gap" }).inc();
    let response = operators.client().get("/metrics");
    assert!(response.header("content-type").is_some_and(|kind| kind.starts_with("text/plain; version=0.0.4")));
    let counters = Arc::clone(&operators.counters);
    counters.received(120);
    let metrics = operators.client().get("/metrics").body;
    for line in [
        "havengate_pieces_dropped_total{cause=\"gap\"} 1",
        "havengate_members{state=\"alive\"} 2",
        "havengate_configuration_version 4",
        "havengate_slot_map_version 3",
        "havengate_claim_slots_held 12",
        "havengate_claim_slots_voting 11",
        "havengate_claim_records 40",
        "havengate_claim_answer_bytes 900",
        "havengate_tenant_permits{tenant=\"press\"} 6",
        "havengate_queue_length{pool=\"own\"} 5",
        "havengate_in_flight{pool=\"own\"} 4",
        "havengate_control_bytes_total{direction=\"in\"} 120",
        "havengate_control_messages_total{direction=\"in\"} 1",
        "havengate_control_messages_total{direction=\"out\"} 0",
    ] {
        assert!(metrics.lines().any(|written| written == line), "{line}\n{metrics}");
    }
    assert!(!metrics.contains("another's"), "only an owner knows a pool's levels");
}

#[test]
fn an_intent_is_the_same_in_toml_and_in_json() {
    let operators = Operators::new();
    let toml = "[[engine]]\nname = \"lekh-model-03\"\nrole = \"prefill\"\n";
    let json = json!({"engine": [{"name": "lekh-model-03", "role": "prefill"}]});
    for body in [toml, &json.to_string()] {
        assert_eq!(operators.call::<PlanAnswer>("POST", "/intents", body), (200, plan()));
    }
    let intents = operators.operations.intents.lock().expect("no panic");
    assert_eq!(*intents, [IntentDocument(json.clone()), IntentDocument(json)]);
}

#[test]
fn plans_are_shown_and_confirmed_by_their_identity() {
    let operators = Operators::new();
    assert_eq!(operators.call::<PlanAnswer>("GET", "/plans/plan-1", ""), (200, plan()));
    let in_force = ConfirmAnswer::InForce { version: ConfigurationVersion(5) };
    for body in ["", r#"{"wait": "4s"}"#] {
        assert_eq!(operators.call::<ConfirmAnswer>("POST", "/plans/plan-1/confirm", body), (200, in_force.clone()));
    }
    let confirmations = operators.operations.confirmations.lock().expect("no panic");
    let waits: Vec<Duration> = confirmations.iter().map(|request| request.wait).collect();
    assert_eq!(waits, [Duration::ZERO, Duration::from_secs(4)]);
}

#[test]
fn refusals_have_their_status_and_code() {
    let operators = Operators::new();
    let cases = [
        ("GET", "/plans", "", 503, OperatorErrorCode::StoreUnavailable),
        ("GET", "/plans/other", "", 404, OperatorErrorCode::UnknownPlan),
        ("POST", "/plans/other/confirm", "", 409, OperatorErrorCode::StalePlan),
        ("GET", "/plans/", "", 404, OperatorErrorCode::UnknownPath),
        ("GET", "/plans/a/b", "", 404, OperatorErrorCode::UnknownPath),
        ("GET", "/nowhere", "", 404, OperatorErrorCode::UnknownPath),
        ("GET", "/drain", "", 405, OperatorErrorCode::MethodNotAllowed),
        ("POST", "/status", "", 405, OperatorErrorCode::MethodNotAllowed),
        ("POST", "/intents", "{\"engine\": ", 400, OperatorErrorCode::InvalidRequest),
        ("POST", "/intents", "engine = [", 400, OperatorErrorCode::InvalidRequest),
        ("POST", "/plans/plan-1/confirm", "{\"wait\": -1}", 400, OperatorErrorCode::InvalidRequest),
        ("POST", "/plans/plan-1/confirm", "{\"weit\": \"4s\"}", 400, OperatorErrorCode::InvalidRequest),
    ];
    for (method, path, body, status, code) in cases {
        assert_eq!(operators.refusal(method, path, body), (status, code), "{method} {path} {body}");
    }
    assert!(operators.operations.confirmations.lock().expect("no panic").is_empty());
}

#[test]
fn an_oversized_intent_is_refused() {
    let operators = Operators::new();
    let refusal = operators.refusal("POST", "/intents", &"#".repeat(10_000_000));
    assert_eq!(refusal, (413, OperatorErrorCode::InvalidRequest));
    assert_eq!(operators.call::<DrainAnswer>("POST", "/drain", ""), (200, DrainAnswer { open_streams: 3 }));
    assert_eq!(operators.call::<PoliciesAnswer>("GET", "/policies", ""), (200, PoliciesAnswer::default()));
}
