/*!
JSON with comments that is checked as a whole.

A table of [`Schema`]s says what a file may hold. [`check`] walks the file along
the table and reports every [`Problem`] at once, each with its line and column:

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

Deserializing stops at the first error and knows no place in the text once the
value is built. The validation works on the syntax tree, which keeps the place of each
value; deserializing comes after it and should find nothing more.
*/

mod problem;
mod schema;
mod suggestion;

use jsonc_parser::{CollectOptions, ParseOptions, ast::Value};

pub use problem::{Problem, Problems};
pub use schema::{Field, Presence, Schema};
pub use suggestion::closest_match;

/// JSON with comments and trailing commas, and nothing else beyond JSON.
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

/// Checks a text against a schema, and then by `cross_checks`, which looks at
/// several values together.
///
/// # Errors
///
/// All problems, ordered by their place in the text. A text that is no JSON has
/// just one, since nothing can be said of what follows it.
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

/// Deserializes a text that [`check`] found nothing wrong with.
///
/// # Errors
///
/// What the check did not know of.
pub fn deserialize<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, Problem> {
    jsonc_parser::parse_to_serde_value(text, &parse_options()).map_err(|e| Problem::syntax(&e))
}
