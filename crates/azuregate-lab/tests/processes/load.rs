//! The load tool against separate processes.

use std::{path::Path, process::Command};

use crate::deployment::Deployment;

// Callers read, order and upload through two entry instances for a second. What
// they were told is compared with what ran at the backend servers.
#[tokio::test]
async fn what_callers_are_told_adds_up_with_what_ran() {
    let deployment = Deployment::start("adds_up").await;
    let json = Path::new(env!("CARGO_TARGET_TMPDIR")).join("adds_up.json");
    let plot = json.with_extension("svg");
    let output = Command::new(env!("CARGO_BIN_EXE_azuregate-lab"))
        .args(["load", "--service", "starter-desk", "--rate-per-s", "50"])
        .args(["--duration-ms", "1000", "--keyed-percent", "30", "--upload-percent", "20"])
        .args(["--at", &deployment.traffic(0).to_string()])
        .args(["--platform", &deployment.example.platform_addr.to_string()])
        .args([Path::new("--json"), &json, Path::new("--plot"), &plot])
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    let report: serde_json::Value = serde_json::from_slice(&std::fs::read(&json).unwrap()).unwrap();
    let audit = &report["audit"];
    for wrong in ["duplicates", "losses", "false_not_run"] {
        assert_eq!(audit[wrong], serde_json::json!([]), "{wrong}: {text}");
    }
    assert_eq!(report["mixed_up"], 0, "{text}");
    assert!(report["answered"].as_u64().unwrap() > 0, "{text}");
    assert!(std::fs::read_to_string(&plot).unwrap().ends_with("</svg>\n"));
}
