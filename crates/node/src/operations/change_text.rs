//! Changes of the configuration as lines for operators.

use havengate_core::configuration::Change;
use serde_json::{Map, Value};

/// The fields that are secrets: a plan tells that they change, and not to what.
const SECRETS: [&str; 1] = ["api_key"];

/// The change in one line: what it concerns, and every field that it alters, with the value before and after.
pub fn describe_change(change: &Change) -> String {
    let written = serde_json::to_value(change).unwrap_or_default();
    let Some((kind, sides)) = written.as_object().and_then(|change| change.iter().next()) else {
        return "a change that can't be shown".to_owned();
    };
    match (sides.get("from"), sides.get("to")) {
        (Some(from), Some(to)) => format!("{}: {}", label(kind, from, Some(to)), altered_fields(from, to)),
        (None, Some(to)) => format!("{} added: {}", label(kind, to, None), all_fields(to)),
        (Some(from), None) => format!("{} removed", label(kind, from, None)),
        (None, None) => kind.clone(),
    }
}

/// Kind and name of the item. An item that the change renames, such as the role policy, goes by its kind alone.
fn label(kind: &str, item: &Value, other: Option<&Value>) -> String {
    let text = |key: &str| item.get(key).and_then(Value::as_str);
    let renamed = other.is_some_and(|other| other.get("name") != item.get("name"));
    match (text("name"), text("from"), text("to")) {
        (Some(name), ..) if !renamed => format!("{kind} {name}"),
        (_, Some(from), Some(to)) => format!("{kind} {from} - {to}"),
        _ => kind.to_owned(),
    }
}

fn altered_fields(from: &Value, to: &Value) -> String {
    let (Some(from), Some(to)) = (from.as_object(), to.as_object()) else {
        return format!("{} -> {}", shown(from), shown(to));
    };
    let alters = |key: &&String| from.get(*key) != to.get(*key);
    let alteration = |key: &String| {
        if SECRETS.contains(&key.as_str()) {
            return format!("{key} (secret) changes");
        }
        let side = |fields: &Map<String, Value>| fields.get(key).map_or("none".to_owned(), shown);
        format!("{key} {} -> {}", side(from), side(to))
    };
    let keys = from.keys().chain(to.keys().filter(|key| !from.contains_key(*key)));
    keys.filter(alters).map(alteration).collect::<Vec<_>>().join(", ")
}

fn all_fields(item: &Value) -> String {
    let Some(fields) = item.as_object() else { return shown(item) };
    let field = |(key, value): (&String, &Value)| {
        let secret = SECRETS.contains(&key.as_str());
        if secret { format!("{key} (secret)") } else { format!("{key} {}", shown(value)) }
    };
    fields.iter().filter(|(key, _)| *key != "name").map(field).collect::<Vec<_>>().join(", ")
}

fn shown(value: &Value) -> String {
    match value {
        Value::Null => "none".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
