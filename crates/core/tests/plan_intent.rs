//! Tests of the planner: plans made from intents, and the changes that plans consist of.

#[path = "support/configuration_fixture.rs"]
#[allow(dead_code)]
mod fixture;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use havengate_core::configuration::{
    Change, ChangeError, Configuration, ConfigurationVersion, PolicyChoice, Replacement, VersionedConfiguration,
};
use havengate_core::plan::{
    EngineIntent, Intent, ModelDemand, ModelIntent, Plan, PlanError, PlannerConfig, PredictionBasis, Removal,
    RoleTarget, plan_configuration, plan_intent,
};
use havengate_core::world::{AdapterName, EngineName, EngineRole, ModelName, ModelVersion, TenantName, ZoneName};

fn latest(configuration: Configuration) -> VersionedConfiguration {
    VersionedConfiguration { version: ConfigurationVersion(4), configuration: Arc::new(configuration) }
}

fn plan(configuration: &Configuration, intent: &Intent) -> std::result::Result<Plan, PlanError> {
    plan_intent(&PlannerConfig::default(), &latest(configuration.clone()), intent, &BTreeMap::new())
}

fn role_intent(prefill: u16, decode: u16, mixed: u16) -> Intent {
    let model = ModelName::from("lekh-model");
    Intent { roles: vec![RoleTarget { model, zone: None, prefill, decode, mixed }], ..Intent::default() }
}

#[test]
fn plan_lists_exact_changes_and_engine_outages() {
    let configuration = fixture::configuration(2, 4);
    let plan = plan(&configuration, &role_intent(1, 1, 2)).expect("a plan");
    assert_eq!(plan.base, ConfigurationVersion(4));
    let changed: Vec<(EngineRole, EngineRole)> = plan.changes.iter().map(role_change).collect();
    assert_eq!(changed, [(EngineRole::Mixed, EngineRole::Prefill), (EngineRole::Mixed, EngineRole::Decode)]);
    let outages: Vec<Duration> =
        plan.waves.iter().flat_map(|wave| &wave.engines).map(|outage| outage.duration).collect();
    assert_eq!(
        outages,
        [Duration::from_secs(4); 2],
        "the role change takes the duration that the model's settings give"
    );
}

fn role_change(change: &Change) -> (EngineRole, EngineRole) {
    match change {
        Change::Engine(Replacement { from: Some(from), to: Some(to) }) => (from.role, to.role),
        other => panic!("not a role change: {other:?}"),
    }
}

#[test]
fn plan_is_deterministic_and_its_id_depends_on_the_base_version() {
    let configuration = fixture::configuration(2, 4);
    let first = plan(&configuration, &role_intent(1, 1, 2)).expect("a plan");
    let again = plan(&configuration, &role_intent(1, 1, 2)).expect("a plan");
    assert_eq!(first, again);
    let later = VersionedConfiguration { version: ConfigurationVersion(5), configuration: Arc::new(configuration) };
    let other =
        plan_intent(&PlannerConfig::default(), &later, &role_intent(1, 1, 2), &BTreeMap::new()).expect("a plan");
    assert_ne!(first.id, other.id);
}

/// In every wave, each stage keeps at least as many serving engines as its floor requires, and at most one engine of
/// a zone is out of service.
#[test]
fn waves_never_violate_the_floors() {
    let mut configuration = fixture::configuration(2, 6);
    configuration.models[0].prefill_floor = 5;
    configuration.models[0].decode_floor = 5;
    let intent = Intent {
        models: vec![ModelIntent {
            name: ModelName::from("lekh-model"),
            version: Some(ModelVersion(2)),
            prefill_floor: None,
            decode_floor: None,
        }],
        ..Intent::default()
    };
    let plan = plan(&configuration, &intent).expect("a plan");
    assert_eq!(plan.waves.len(), 6, "with 6 engines and floors of 5 only one may be out of service at a time");
    configuration.models[0].prefill_floor = 6;
    let blocked = plan_intent(&PlannerConfig::default(), &latest(configuration), &intent, &BTreeMap::new());
    assert!(matches!(blocked, Err(PlanError::FloorBlocks { .. })), "{blocked:?}");
}

#[test]
fn prediction_reports_its_basis_and_is_lower_during_outages() {
    let configuration = fixture::configuration(2, 4);
    let performance = configuration.models[0].performance;
    let demand = ModelDemand {
        prefill_tokens_per_second: performance.prefill_tokens_per_second * 3.0,
        decode_tokens_per_second: 0.0,
    };
    let demands = BTreeMap::from([(ModelName::from("lekh-model"), demand)]);
    let plan = plan_intent(&PlannerConfig::default(), &latest(configuration), &role_intent(2, 2, 0), &demands)
        .expect("a plan");
    let effect = &plan.effects[0];
    assert_eq!(effect.basis, PredictionBasis::Measured(demand));
    assert_eq!(effect.before, 1.0, "four mixed engines can serve the prefill demand of three");
    assert!(
        (effect.after - 2.0 / 3.0).abs() < 1e-9,
        "two prefill engines can serve two thirds of the demand: {effect:?}"
    );
    assert!(effect.during <= effect.after, "{effect:?}");
}

#[test]
fn invalid_intents_are_reported_with_key_value_and_allowed_values() {
    let configuration = fixture::configuration(2, 4);
    let adapter = Some(AdapterName::from("house-style"));
    let cases = [
        (
            Intent {
                engines: vec![EngineIntent { name: EngineName::from("no-such"), role: None, adapter }],
                ..Intent::default()
            },
            "engine.name is `no-such`; allowed: the name of an engine of the configuration",
        ),
        (role_intent(1, 1, 1), "roles of lekh-model is `3`; allowed: numbers whose sum is 4"),
        (
            Intent { role_policy: Some(PolicyChoice::with_defaults("no-such")), ..Intent::default() },
            "role_policy: unknown policy `no-such`; known policies: ",
        ),
        (
            Intent {
                remove: Removal { tenants: vec![TenantName::from("no-such")], ..Removal::default() },
                ..Intent::default()
            },
            "remove.tenants is `no-such`; allowed: press",
        ),
        (
            role_intent(4, 0, 0),
            "model lekh-model.decode_floor is 1 but only 0 engines have such a role; allowed: at most 0",
        ),
    ];
    for (intent, expected) in cases {
        let Err(PlanError::Invalid(errors)) = plan(&configuration, &intent) else { panic!("valid: {intent:?}") };
        assert!(errors[0].to_string().starts_with(expected), "{}", errors[0]);
    }
    assert_eq!(plan(&configuration, &Intent::default()), Err(PlanError::NothingToChange));
}

/// Validation of an invalid configuration reports an error for each mistake.
#[test]
fn validation_reports_each_kind_of_configuration_mistake() {
    type Mistake = fn(&mut Configuration);
    let mistakes: [(&str, Mistake); 9] = [
        ("zone.name is `zone-00`; allowed: a value that occurs only once", |c| c.zones[1] = c.zones[0].clone()),
        ("engine.address is", |c| c.engines[1].address = c.engines[0].address),
        ("engine lekh-model-0000.zone is `x`; allowed: zone-00, zone-01", |c| c.engines[0].zone = ZoneName::from("x")),
        ("engine lekh-model-0000.model is `x`; allowed: lekh-model", |c| c.engines[0].model = ModelName::from("x")),
        ("tenant press.contract is `x`; allowed: verdict", |c| c.tenants[0].contract = "x".into()),
        ("tenant press.api_key is ``", |c| c.tenants[0].api_key.clear()),
        ("contract verdict.weight is `0`; allowed: more than 0", |c| c.contracts[0].weight = 0),
        ("pools.size_maximum is `0`; allowed: more than 0", |c| c.pools.size_maximum = 0),
        ("model lekh-model.performance.batch_maximum is `0`", |c| c.models[0].performance.batch_maximum = 0),
    ];
    for (expected, mistake) in mistakes {
        let mut configuration = fixture::configuration(2, 4);
        assert_eq!(configuration.validate(), Ok(()));
        mistake(&mut configuration);
        let errors = configuration.validate().expect_err(expected);
        assert!(errors.iter().any(|error| error.to_string().starts_with(expected)), "{expected}: {errors:?}");
    }
}

#[test]
fn changes_for_another_configuration_are_rejected_without_effect() {
    let configuration = fixture::configuration(2, 4);
    let plan = plan(&configuration, &role_intent(1, 1, 2)).expect("a plan");
    let mut other = configuration.clone();
    other.engines[3].role = EngineRole::Prefill;
    let before = other.clone();
    let refused = other.apply(&plan.changes);
    assert!(matches!(refused, Err(ChangeError::OtherValue { kind: "engine", .. })), "{refused:?}");
    assert_eq!(other, before);
}

/// Generates a configuration with a random number of engines, random roles, model version and prefill rate, and with
/// or without a role policy and tenants.
fn arbitrary_configuration(u: &mut Unstructured) -> Result<Configuration> {
    let mut configuration = fixture::configuration(2, u.int_in_range(2..=6)?);
    for engine in &mut configuration.engines {
        engine.role = *u.choose(&[EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed])?;
    }
    configuration.models[0].version = ModelVersion(u.int_in_range(1..=3)?);
    configuration.models[0].performance.prefill_tokens_per_second = f64::from(u.int_in_range(1..=9)?) / 7.0;
    if u.arbitrary()? {
        configuration.role_policy = Some(PolicyChoice::with_defaults("static"));
    }
    if u.arbitrary()? {
        configuration.tenants.clear();
    }
    Ok(configuration)
}

#[test]
fn changes_transform_one_configuration_into_another_after_a_json_round_trip() {
    for case in 1..=200_u64 {
        arbtest(|u| {
            let (from, to) = (arbitrary_configuration(u)?, arbitrary_configuration(u)?);
            let json = serde_json::to_string(&from.changes_to(&to)).expect("serializable changes");
            let changes: Vec<Change> = serde_json::from_str(&json).expect("deserializable changes");
            let mut changed = from.clone();
            changed.apply(&changes).expect("applicable");
            assert_eq!(changed.changes_to(&to), []);
            Ok(())
        })
        .seed((case << 32) | 256);
    }
}

#[test]
fn first_configuration_is_created_by_a_plan_on_version_0() {
    let configuration = fixture::configuration(2, 4);
    let plan = fixture::first_plan(&configuration);
    assert_eq!(plan.base, ConfigurationVersion(0));
    assert_eq!(plan.waves, [], "engines that were not in service before need no outage");
    let mut empty = Configuration::default();
    empty.apply(&plan.changes).expect("applicable");
    assert_eq!(empty.changes_to(&configuration), []);
    let unchanged = plan_configuration(&PlannerConfig::default(), &latest(empty), &configuration, &BTreeMap::new());
    assert_eq!(unchanged, Err(PlanError::NothingToChange));
}
