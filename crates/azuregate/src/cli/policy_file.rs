//! Policies in files: JSON with comments.

use std::{fmt::Write, path::Path};

use azuregate_core::policy::{Policy, WHOLE_PPM};
use serde_json::Value;

use crate::{
    jsonc::{
        self, Field,
        Presence::{self, Nullable, Optional, Required},
        Problem, Schema,
    },
    operators::convert,
};

/// A policy as operators write it, with what `policy get` says of it.
const POLICY: Schema = Schema::Object(&[
    field("service", Required, Schema::String(service)),
    field("version", Optional, ANY_INTEGER),
    field("operation_id", Optional, Schema::String(any_string)),
    field("zone_share_ppm", Optional, SHARES),
    field("cap", Required, CAP),
    field("shift", Nullable, SHIFT),
    field("shift_delay_ms", Optional, ANY_INTEGER),
    field("drains", Optional, Schema::Array(&NAME)),
    field("timeout_ms", Required, POSITIVE_INTEGER),
    field("queue_ms", Required, ANY_INTEGER),
]);

const CAP: Schema = Schema::Object(&[
    field("share_ppm", Required, Schema::Integer { min: 1, max: WHOLE_PPM as u64 }),
    field("window_ms", Required, POSITIVE_INTEGER),
]);

const SHIFT: Schema = Schema::Object(&[
    field("from_share_ppm", Required, SHARES),
    field("to_share_ppm", Required, SHARES),
    field("start_at_ms", Required, ANY_INTEGER),
    field("cap", Required, CAP),
]);

const SHARES: Schema = Schema::Map(&Schema::Integer { min: 0, max: WHOLE_PPM as u64 });
const NAME: Schema = Schema::String(name);
const ANY_INTEGER: Schema = Schema::Integer { min: 0, max: u64::MAX };
const POSITIVE_INTEGER: Schema = Schema::Integer { min: 1, max: u64::MAX };

const fn field(key: &'static str, presence: Presence, schema: Schema) -> Field {
    Field { key, presence, schema }
}

fn service(text: &str) -> Result<(), String> {
    convert::service_name(text).map(|_| ()).map_err(|e| strip_field_and_value(&e.to_string()))
}

fn name(text: &str) -> Result<(), String> {
    convert::check_name("", text).map_err(|e| strip_field_and_value(&e.to_string()))
}

/// The checks of calls name the field and the value, which the walk does too.
fn strip_field_and_value(message: &str) -> String {
    let start = message.find("must").unwrap_or(0);
    let end = message.rfind(", not").unwrap_or(message.len());
    message[start..end].to_owned()
}

fn any_string(_text: &str) -> Result<(), String> {
    Ok(())
}

/// Reads a policy. A version or operation id that is left out is 0 or empty.
///
/// # Errors
///
/// All that is wrong, one line each, with line and column.
pub(super) fn parse(file: &Path, text: &str) -> Result<Policy, String> {
    let format_problems = |problems: &[Problem]| {
        let mut lines = String::new();
        for problem in problems {
            // Writing to a text cannot fail.
            let _ = writeln!(lines, "{}:{problem}", file.display());
        }
        lines.trim_end().to_owned()
    };
    jsonc::check(text, &POLICY, |_, _| ()).map_err(|problems| format_problems(&problems))?;
    let mut value: Value = jsonc::deserialize(text).map_err(|e| format_problems(&[e]))?;
    if let Some(object) = value.as_object_mut() {
        object.entry("version").or_insert(Value::from(0));
        object.entry("operation_id").or_insert(Value::from(""));
        object.entry("zone_share_ppm").or_insert(serde_json::json!({}));
    }
    let policy: Policy =
        serde_json::from_value(value).map_err(|e| format!("{}: {e}", file.display()))?;
    policy.check().map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(policy)
}
