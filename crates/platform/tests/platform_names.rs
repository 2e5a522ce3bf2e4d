//! Checks that the platform's names are used in this crate only, so that a change of
//! the platform affects no other crate.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

use std::{fs, path::Path};

/// Headers, paths, calls and fields of the platform.
const NAMES: [&str; 32] = [
    "x-affinity-key",
    "x-deadline-ms",
    "x-response-signature",
    "x-target-instance",
    "x-backend-load",
    "x-not-executed",
    "x-instance-id",
    "x-warmup-ms",
    "server-limit",
    "server-leaving",
    "/-/readyz",
    "/-/resolve",
    "rows-get",
    "rows-feed",
    "rows-tx",
    "rows-parts",
    "blob-put",
    "trafficSplit",
    "targetLatencyS",
    "sessionAffinity",
    "homeRegions",
    "warmupPerS",
    "warmupLeftS",
    "configVersion",
    "healthPath",
    "maxConns",
    "tombstone",
    "nodeName",
    "internalPorts",
    "retryBudgetRatio",
    "ttlS",
    "AZUREGATE_SETTINGS",
];

#[test]
fn platform_names_are_used_in_this_crate_only() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let mut found = Vec::new();
    for entry in fs::read_dir(crates).unwrap() {
        let path = entry.unwrap().path();
        if path.file_name().is_some_and(|name| name != "platform") {
            search(&path.join("src"), &mut found);
        }
    }
    assert!(found.is_empty(), "{found:#?}");
}

fn search(dir: &Path, found: &mut Vec<String>) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            search(&path, found);
            continue;
        }
        let text = fs::read_to_string(&path).unwrap_or_default().to_lowercase();
        for name in NAMES {
            if text.contains(&name.to_lowercase()) {
                found.push(format!("{name} in {}", path.display()));
            }
        }
    }
}
