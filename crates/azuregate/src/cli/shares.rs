//! Zone shares on the command line: `ZONE=PPM`, separated by commas.

use std::collections::BTreeMap;

/// Parses zone shares, merging all arguments.
///
/// # Errors
///
/// When a share is not of the form `ZONE=PPM`, or a zone is repeated.
pub(super) fn parse(texts: &[String]) -> Result<BTreeMap<String, u32>, String> {
    let mut shares = BTreeMap::new();
    let parts = texts.iter().flat_map(|text| text.split(',')).map(str::trim);
    for part in parts.filter(|part| !part.is_empty()) {
        let share = part
            .split_once('=')
            .and_then(|(zone, ppm)| Some((zone.trim().to_owned(), ppm.trim().parse().ok()?)));
        let Some((zone, ppm)) = share else {
            return Err(format!(
                "--to-share-ppm must be ZONE=PPM, such as sofia-a=500000, not {part:?}"
            ));
        };
        if shares.insert(zone.clone(), ppm).is_some() {
            return Err(format!("--to-share-ppm names {zone} twice"));
        }
    }
    Ok(shares)
}
