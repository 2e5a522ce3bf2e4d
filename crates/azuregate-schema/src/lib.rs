/*!
The operators' remote procedure calls, generated from `proto/`.

```
use azuregate_schema::v1::GetPolicyRequest;

let request = GetPolicyRequest { service: "starter-desk".to_owned() };
assert_eq!(request.service, "starter-desk");
```

The generated code is committed, so that the build needs no generator.
`cargo run -p azuregate-schemagen` writes it anew.
*/

/// Version 1 of the operators' calls.
#[rustfmt::skip]
#[allow(clippy::all)]
#[path = "gen/azuregate.v1.rs"]
pub mod v1;
