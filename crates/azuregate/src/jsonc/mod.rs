/*!
Validation of JSON with comments.

[`check`] validates a document against a [`Schema`] and reports every [`Problem`] at
once, each with its line and column:

```
use azuregate::jsonc::{Field, Presence, Schema, check};

const SCHEMA: Schema = Schema::Object(&[Field {
    key: "timeout_ms",
    presence: Presence::Required,
    schema: Schema::Integer { min: 1, max: 60_000 },
}]);

let problems = check("{ \"timeout\": 5 }", &SCHEMA, |_, _| ()).unwrap_err();
assert_eq!(problems[0].line, 1);
assert!(problems[0].message.contains("timeout_ms"));
```

# Design

Deserialization stops at the first error, and a deserialized value no longer has its
position in the text. The validation therefore works on the syntax tree. Deserialization
follows it and should not find further errors.
*/

mod problem;
mod schema;
mod suggestion;

use jsonc_parser::{CollectOptions, ParseOptions, ast::Value};

pub use problem::{Problem, Problems};
pub use schema::{Field, Presence, Schema};
pub use suggestion::closest_match;

/// Returns the parser options: JSON with comments and trailing commas, and no other
/// extensions.
pub fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Validates a document against a schema, and then by `cross_checks`, which checks
/// constraints between several values.
///
/// # Errors
///
/// All problems, ordered by their position. A syntax error is reported alone, because
/// the rest of the document cannot be parsed.
pub fn check(
    text: &str,
    schema: &Schema,
    cross_checks: impl FnOnce(&Value<'_>, &mut Problems<'_>),
) -> Result<(), Vec<Problem>> {
    let parsed = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &parse_options());
    let root = match parsed {
        Ok(parsed) => parsed.value,
        Err(e) => return Err(vec![Problem::syntax(&e)]),
    };
    let mut problems = Problems::new(text);
    match root {
        Some(root) => {
            schema::validate(&root, schema, "", &mut problems);
            cross_checks(&root, &mut problems);
        }
        None => problems.add(0, "", "the file is empty"),
    }
    problems.finish()
}

/// Deserializes a document that [`check`] has accepted.
///
/// # Errors
///
/// When the document does not match `T` in a way that the schema does not express.
pub fn deserialize<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, Problem> {
    jsonc_parser::parse_to_serde_value(text, &parse_options()).map_err(|e| Problem::syntax(&e))
}
