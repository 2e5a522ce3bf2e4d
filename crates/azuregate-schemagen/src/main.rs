//! Writes the generated code: `cargo run -p azuregate-schemagen`.

use std::{error::Error, path::Path};

fn main() -> Result<(), Box<dyn Error>> {
    let out = Path::new(azuregate_schemagen::GENERATED);
    azuregate_schemagen::generate(out.parent().ok_or("the generated file has no folder")?)?;
    Ok(())
}
