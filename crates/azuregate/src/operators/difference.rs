//! Where two policies differ, field by field.

use std::collections::BTreeMap;

use azuregate_core::policy::Policy;
use azuregate_schema::v1;
use serde_json::Value;

/// Fields that differ between any two versions.
const IGNORED_FIELDS: [&str; 2] = ["version", "operation_id"];

/// The fields that differ, ordered by name.
pub(super) fn between(before: Option<&Policy>, after: &Policy) -> Vec<v1::Difference> {
    let (before, after) = (before.map_or_else(BTreeMap::new, fields), fields(after));
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    let text = |fields: &BTreeMap<String, Value>, name: &String| {
        fields.get(name).map_or_else(String::new, Value::to_string)
    };
    names
        .into_iter()
        .filter(|name| before.get(*name) != after.get(*name))
        .map(|name| v1::Difference {
            field: name.clone(),
            before: text(&before, name),
            after: text(&after, name),
        })
        .collect()
}

fn fields(policy: &Policy) -> BTreeMap<String, Value> {
    let mut fields = BTreeMap::new();
    if let Ok(value) = serde_json::to_value(policy) {
        flatten("", value, &mut fields);
    }
    for name in IGNORED_FIELDS {
        fields.remove(name);
    }
    fields
}

fn flatten(path: &str, value: Value, fields: &mut BTreeMap<String, Value>) {
    let Value::Object(object) = value else {
        fields.insert(path.to_owned(), value);
        return;
    };
    // A field that is null is not there.
    for (key, value) in object.into_iter().filter(|(_, value)| !value.is_null()) {
        let path = if path.is_empty() { key } else { format!("{path}.{key}") };
        flatten(&path, value, fields);
    }
}
