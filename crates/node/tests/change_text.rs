//! Plans as operators read them: every field that changes, and no secret.

use std::path::Path;

use havengate_core::configuration::{Configuration, PolicyChoice};
use havengate_core::world::{AdapterName, EngineRole, Tenant};
use havengate_node::operations::describe_change;
use havengate_node::settings::parse_toml;

const CONFIGURATION: &str = r#"
zone = [{ name = "patan", region = "valley" }, { name = "thamel", region = "valley" }]
link = [{ from = "patan", to = "thamel", latency = "1500us" }]
engine = [
    { name = "lekh-1", address = "127.0.0.1:1", zone = "patan", model = "lekh" },
    { name = "lekh-2", address = "127.0.0.1:2", zone = "patan", model = "lekh" },
]
tenant = [{ name = "schools", api_key = "old-key", contract = "verdict" }]
role_policy = { name = "static" }
"#;

/// The lines for what `alter` changes.
fn lines_after(alter: impl FnOnce(&mut Configuration)) -> Vec<String> {
    let before: Configuration = parse_toml(Path::new("test"), CONFIGURATION).expect("a configuration");
    let mut after = before.clone();
    alter(&mut after);
    before.changes_to(&after).iter().map(describe_change).collect()
}

#[test]
fn altered_fields_are_named_with_both_values() {
    let lines = lines_after(|configuration| {
        configuration.engines[0].role = EngineRole::Prefill;
        configuration.engines[0].adapter = Some(AdapterName::from("style-sheet"));
        configuration.links[0].latency = std::time::Duration::from_millis(2);
    });
    let expected = [
        "link patan - thamel: latency 1ms 500us -> 2ms",
        "engine lekh-1: adapter none -> style-sheet, role mixed -> prefill",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn added_and_removed_items_and_other_policies_are_told_apart() {
    let lines = lines_after(|configuration| {
        configuration.engines.pop();
        configuration.role_policy = Some(PolicyChoice::with_defaults("hysteresis"));
    });
    assert_eq!(lines, ["engine lekh-2 removed", "role_policy: name static -> hysteresis"]);
}

#[test]
fn keys_of_tenants_are_never_shown() {
    let lines = lines_after(|configuration| {
        configuration.tenants[0].api_key = "new-key".to_owned();
        let added =
            Tenant { name: "families".into(), api_key: "third-key".to_owned(), ..configuration.tenants[0].clone() };
        configuration.tenants.push(added);
    });
    let expected = [
        "tenant families added: api_key (secret), contract verdict, limits none",
        "tenant schools: api_key (secret) changes",
    ];
    assert_eq!(lines, expected);
}
