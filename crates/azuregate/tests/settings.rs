//! Settings files.

use azuregate::settings::Settings;

#[test]
fn unknown_keys_are_refused() {
    let error = Settings::parse(r#"{ "instanse": "entry-1" }"#).unwrap_err();
    assert!(format!("{error:?}").contains("instanse"));
}
