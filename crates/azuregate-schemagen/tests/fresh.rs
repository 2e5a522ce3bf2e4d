//! The committed generated code matches the `.proto` files.

use std::{fs, path::Path};

#[test]
fn committed_code_is_fresh() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let fresh = azuregate_schemagen::generate(dir).unwrap();
    let committed = fs::read_to_string(azuregate_schemagen::GENERATED).unwrap();
    assert!(fresh == committed, "run `cargo run -p azuregate-schemagen` and commit the result");
}
