//! Tables that say what a text may hold, and the validation against them.

use std::collections::BTreeMap;

use jsonc_parser::{
    ast::{Object, Value},
    common::Ranged,
};

use super::{Problems, suggestion};

/// What a value may be.
#[derive(Clone, Copy, Debug)]
pub enum Schema {
    /// An object with these keys and no others.
    Object(&'static [Field]),
    /// A list with at least one element.
    NonEmptyArray(&'static Schema),
    /// A list that may be empty.
    Array(&'static Schema),
    /// An object with any keys.
    Map(&'static Schema),
    /// A text that the function takes; its error says what the text must be.
    String(fn(&str) -> Result<(), String>),
    /// A whole number within bounds, both included.
    Integer {
        /// The least.
        min: u64,
        /// The greatest.
        max: u64,
    },
}

/// One key of an object.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The key.
    pub key: &'static str,
    /// Whether it may be left out.
    pub presence: Presence,
    /// What its value may be.
    pub schema: Schema,
}

/// Whether a key may be left out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// It must be there.
    Required,
    /// It has a default.
    Optional,
    /// It may be left out or be null.
    Nullable,
}

/// Checks one value; `path` names it.
pub(super) fn validate(
    value: &Value<'_>,
    schema: &Schema,
    path: &str,
    problems: &mut Problems<'_>,
) {
    let offset = value.range().start;
    match (schema, value) {
        (Schema::Object(fields), Value::Object(object)) => {
            validate_object(object, fields, path, problems);
        }
        (Schema::NonEmptyArray(_), Value::Array(array)) if array.elements.is_empty() => {
            problems.add(offset, path, "must not be empty");
        }
        (Schema::NonEmptyArray(element) | Schema::Array(element), Value::Array(array)) => {
            for (index, value) in array.elements.iter().enumerate() {
                validate(value, element, &format!("{path}[{index}]"), problems);
            }
        }
        (Schema::Map(element), Value::Object(object)) => {
            report_duplicates(object, path, problems);
            for prop in &object.properties {
                validate(&prop.value, element, &join(path, prop.name.as_str()), problems);
            }
        }
        (Schema::String(check), Value::StringLit(text)) => {
            if let Err(e) = check(&text.value) {
                problems.add(offset, path, format!("{e}, not {:?}", text.value));
            }
        }
        (Schema::Integer { min, max }, Value::NumberLit(number)) => {
            let within = number.value.parse().is_ok_and(|n: u64| (*min..=*max).contains(&n));
            if !within {
                let message =
                    format!("must be a whole number from {min} to {max}, not {}", number.value);
                problems.add(offset, path, message);
            }
        }
        (schema, value) => {
            problems.add(
                offset,
                path,
                format!("must be {}, not {}", expected_type(schema), describe_value(value)),
            );
        }
    }
}

fn validate_object(
    object: &Object<'_>,
    fields: &'static [Field],
    path: &str,
    problems: &mut Problems<'_>,
) {
    report_duplicates(object, path, problems);
    let is_given = |key: &str| object.properties.iter().any(|prop| prop.name.as_str() == key);
    let missing: Vec<&Field> = fields.iter().filter(|field| !is_given(field.key)).collect();
    let mut suggested = Vec::new();
    for prop in &object.properties {
        let key = prop.name.as_str();
        let path = join(path, key);
        let Some(field) = fields.iter().find(|field| field.key == key) else {
            let suggestion = suggestion::suggest_key(key, missing.iter().map(|field| field.key));
            let text = match &suggestion {
                Some(suggestion) => suggestion.message.clone(),
                None => format!("known here: {}", key_list(fields)),
            };
            problems.add(prop.range.start, &path, format!("unknown key; {text}"));
            suggested.extend(suggestion.map(|suggestion| suggestion.key));
            continue;
        };
        if matches!(prop.value, Value::NullKeyword(_)) && field.presence == Presence::Nullable {
            continue;
        }
        validate(&prop.value, &field.schema, &path, problems);
    }
    for field in missing {
        // A key that was misspelt is one mistake, and is reported as one.
        if field.presence == Presence::Required && !suggested.contains(&field.key) {
            problems.add(object.range.start, &join(path, field.key), "missing key");
        }
    }
}

/// Readers disagree on which of two equal keys counts.
fn report_duplicates(object: &Object<'_>, path: &str, problems: &mut Problems<'_>) {
    let mut first = BTreeMap::new();
    for prop in &object.properties {
        let key = prop.name.as_str();
        if let Some(&offset) = first.get(key) {
            let message = format!("given before, on line {}", problems.line(offset));
            problems.add(prop.range.start, &join(path, key), message);
        } else {
            first.insert(key, prop.range.start);
        }
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

fn key_list(fields: &[Field]) -> String {
    let keys: Vec<_> = fields.iter().map(|field| field.key).collect();
    keys.join(", ")
}

fn expected_type(schema: &Schema) -> String {
    match schema {
        Schema::Object(_) | Schema::Map(_) => "an object".to_owned(),
        Schema::NonEmptyArray(_) | Schema::Array(_) => "a list".to_owned(),
        Schema::String(_) => "text".to_owned(),
        Schema::Integer { min, max } => format!("a whole number from {min} to {max}"),
    }
}

fn describe_value(value: &Value<'_>) -> String {
    match value {
        Value::StringLit(text) => format!("the text {:?}", text.value),
        Value::NumberLit(number) => format!("the number {}", number.value),
        Value::BooleanLit(boolean) => boolean.value.to_string(),
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    }
}
