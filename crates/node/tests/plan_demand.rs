//! What plans predict from: measured demand where all of it is known, else capacity.

use std::collections::BTreeMap;

use havengate_core::configuration::{Configuration, ConfigurationVersion, VersionedConfiguration};
use havengate_core::plan::ModelDemand;
use havengate_core::world::ModelName;
use havengate_node::operations::{PoolReading, demand_by_model, make_plan, plan_answer};
use havengate_node::operators::{GoodputPrediction, IntentDocument, PredictionBasis};
use serde_json::json;

const CONFIGURATION: &str = r#"
[[zone]]
name = "patan"
region = "valley"

[[model]]
name = "lekh-model"

[[model]]
name = "chhapai-desk"

[[engine]]
name = "one"
address = "127.0.0.1:9001"
zone = "patan"
model = "lekh-model"

[[engine]]
name = "two"
address = "127.0.0.1:9002"
zone = "patan"
model = "lekh-model"

[[engine]]
name = "three"
address = "127.0.0.1:9003"
zone = "patan"
model = "lekh-model"

[[engine]]
name = "four"
address = "127.0.0.1:9004"
zone = "patan"
model = "chhapai-desk"

[[engine]]
name = "five"
address = "127.0.0.1:9005"
zone = "patan"
model = "chhapai-desk"

[[engine]]
name = "six"
address = "127.0.0.1:9006"
zone = "patan"
model = "chhapai-desk"
"#;

fn demand(prefill: f64, decode: f64) -> ModelDemand {
    ModelDemand { prefill_tokens_per_second: prefill, decode_tokens_per_second: decode }
}

fn reading(model: &str, demand: Option<ModelDemand>) -> PoolReading {
    PoolReading { model: ModelName::from(model), demand }
}

/// The prediction for a plan that changes a role of both models.
fn predicted(demand: &BTreeMap<ModelName, ModelDemand>) -> GoodputPrediction {
    let configuration: Configuration = toml::from_str(CONFIGURATION).expect("valid");
    let version = ConfigurationVersion(3);
    let latest = VersionedConfiguration { version, configuration: configuration.into() };
    let roles = json!([
        {"model": "lekh-model", "prefill": 1, "mixed": 2},
        {"model": "chhapai-desk", "prefill": 1, "mixed": 2},
    ]);
    let plan = make_plan(&latest, IntentDocument(json!({ "roles": roles })), demand).expect("a plan");
    plan_answer(&plan, version, version, None).prediction.expect("both models are touched")
}

#[test]
fn demand_is_summed_over_the_pools_of_a_model() {
    let readings = [
        reading("lekh-model", Some(demand(100.0, 10.0))),
        reading("chhapai-desk", Some(demand(7.0, 3.0))),
        reading("lekh-model", Some(demand(50.0, 5.0))),
    ];
    let expected = BTreeMap::from([
        (ModelName::from("lekh-model"), demand(150.0, 15.0)),
        (ModelName::from("chhapai-desk"), demand(7.0, 3.0)),
    ]);
    assert_eq!(demand_by_model(&readings), expected);
}

#[test]
fn a_part_of_a_models_demand_is_not_taken_for_the_whole() {
    for readings in [
        [reading("lekh-model", Some(demand(100.0, 10.0))), reading("lekh-model", None)],
        [reading("lekh-model", None), reading("lekh-model", Some(demand(100.0, 10.0)))],
    ] {
        assert_eq!(demand_by_model(&readings), BTreeMap::new());
    }
}

#[test]
fn a_model_without_traffic_has_no_measured_demand() {
    assert_eq!(demand_by_model(&[reading("lekh-model", Some(demand(0.0, 0.0)))]), BTreeMap::new());
}

#[test]
fn a_prediction_says_whether_demand_was_measured() {
    let lekh = reading("lekh-model", Some(demand(8.0, 2.0)));
    let desk = reading("chhapai-desk", Some(demand(4.0, 1.0)));
    assert_eq!(predicted(&BTreeMap::new()).basis, PredictionBasis::Capacity);
    assert_eq!(predicted(&demand_by_model(std::slice::from_ref(&lekh))).basis, PredictionBasis::Mixed);
    let measured = predicted(&demand_by_model(&[lekh, desk]));
    assert_eq!(measured.basis, PredictionBasis::Measured);
    assert_eq!(measured.tokens_per_second_before, 15.0, "so small a demand is served whole");
}

#[test]
fn the_prediction_of_an_older_node_is_taken_as_by_capacity() {
    let older = json!({"tokens_per_second_before": 1.0, "tokens_per_second_after": 2.0});
    let read: GoodputPrediction = serde_json::from_value(older).expect("the answer of an older node");
    assert_eq!(read.basis, PredictionBasis::Capacity);
}
