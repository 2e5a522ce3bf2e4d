//! Commands that call an instance: what they print, and their exit status.

use std::{fs, process::Command};

use azuregate::metrics::{ANSWERED, RequestClass, Sample};
use azuregate_core::names::{ServiceName, TenantName};
use tokio::net::TcpListener;

use crate::{
    fake::{Fault, Fixture, SERVICE, initial_policy},
    server::{self, Run, azuregate},
};

const DRAIN: &str = "drain start --service starter-desk --backend starter-desk-01";

fn file(name: &str, text: &str) -> String {
    let path = format!("{}/{name}", env!("CARGO_TARGET_TMPDIR"));
    fs::write(&path, text).unwrap();
    path
}

/// An address that nobody listens on.
async fn nobody() -> std::net::SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

#[tokio::test]
async fn what_commands_show() {
    let fixture = Fixture::new().await;
    let at = server::serve(&fixture).await;
    for (tenant, latency_ms) in [(Some("bakers"), 20), (Some("bakers"), 30), (None, 5)] {
        fixture.recorder.record(Sample {
            service: ServiceName::new(SERVICE),
            tenant: tenant.map(TenantName::new),
            class: RequestClass::Read,
            code: ANSWERED,
            latency_ms,
        });
    }
    let shares = "--to-share-ppm plovdiv-a=700000,varna-a=300000";
    let lines = [
        ("status", "status".to_owned()),
        ("policy-get", format!("policy get --service {SERVICE}")),
        ("policy-list", "policy list".to_owned()),
        ("shift-plan", format!("shift start --service {SERVICE} {shares} --dry-run")),
        ("shift-start", format!("shift start --service {SERVICE} {shares} --operation-id op-1")),
        ("shift-again", format!("shift start --service {SERVICE} {shares} --operation-id op-1")),
        ("shift-show", format!("shift show --service {SERVICE}")),
        ("shift-stop", format!("shift stop --service {SERVICE} --operation-id op-2")),
        ("drain-start", format!("{DRAIN} --operation-id op-3")),
        ("drain-show", "drain show".to_owned()),
        ("drain-stop", format!("{} --operation-id op-4", DRAIN.replace("start ", "stop "))),
        ("history", format!("policy history --service {SERVICE}")),
        ("entries", format!("entries --service {SERVICE}")),
        ("histograms", "histograms".to_owned()),
    ];
    for (name, line) in lines {
        let line = line.replace("--dry-run", "--dry-run --operation-id op-0");
        let human = azuregate(&format!("{line} --at {at}")).await;
        insta::assert_snapshot!(name, human.told(&[at]));
        assert_eq!(human.exit, 0, "{name}");
        let json = azuregate(&format!("{line} --at {at} --output json")).await;
        // What changes something has done so by the first call.
        assert_eq!(json.exit, 0, "{name}: {}", json.stderr);
        let value: serde_json::Value = serde_json::from_str(&json.stdout).unwrap();
        insta::assert_json_snapshot!(format!("{name}-json"), value);
    }
}

#[tokio::test]
async fn a_policy_is_read_edited_and_set() {
    let fixture = Fixture::new().await;
    let at = server::serve(&fixture).await;
    let got = azuregate(&format!("policy get --service {SERVICE} --at {at}")).await;
    let edited = got.stdout.replace("\"queue_ms\": 200", "\"queue_ms\": 300 // longer");
    let edited = file("edited.jsonc", &edited);
    // The file's version is what the change is based on.
    let first = azuregate(&format!("policy set --file {edited} --at {at} --operation-id a")).await;
    assert_eq!(first.exit, 0, "{}", first.stderr);
    assert_eq!(fixture.platform.policy().queue_ms, 300);
    let rival = got.stdout.replace("\"timeout_ms\": 10000", "\"timeout_ms\": 9000");
    let rival = file("rival.jsonc", &rival);
    let second = azuregate(&format!("policy set --file {rival} --at {at} --operation-id b")).await;
    insta::assert_snapshot!("set-conflict", second.told(&[at]));
    let line = format!("policy set --file {rival} --at {at} --operation-id b --output json");
    let json = azuregate(&line).await;
    assert_eq!(json.exit, 4);
    let value: serde_json::Value = serde_json::from_str(&json.stdout).unwrap();
    assert_eq!(value["conflict"], true);
}

#[tokio::test]
async fn an_operation_id_that_is_made_up_is_told() {
    let fixture = Fixture::new().await;
    let at = server::serve(&fixture).await;
    let run = azuregate(&format!("{DRAIN} --at {at}")).await;
    let id = run.stderr.trim().strip_prefix("operation ").unwrap().to_owned();
    assert_eq!(fixture.platform.policy().operation_id, id);
    let again = azuregate(&format!("{DRAIN} --at {at} --operation-id {id}")).await;
    assert!(again.stdout.contains("accepted by an earlier call as version 2"), "{}", again.stdout);
}

/// One exit status for each class of failure.
#[tokio::test]
async fn exit_statuses() {
    let drain = format!("{DRAIN} --operation-id op-1");
    let cases: [(&str, &[Fault], i32); 5] = [
        (&drain, &[], 0),
        (&drain.replace("op-1", "a/b"), &[], 2),
        (&drain.replace("-01", "-99"), &[], 3),
        (&drain, &[Fault::Refused], 5),
        (&drain, &[Fault::ResponseLostThenDown], 6),
    ];
    for (line, faults, exit) in cases {
        let fixture = Fixture::new().await;
        let at = server::serve(&fixture).await;
        fixture.platform.script(faults);
        let run = azuregate(&format!("{line} --at {at}")).await;
        assert_eq!(run.exit, exit, "{line} {faults:?}: {}", run.stderr);
    }
    let fixture = Fixture::new().await;
    let at = server::serve(&fixture).await;
    let line = format!("{drain} --at {at} --based-on 7");
    assert_eq!(azuregate(&line).await.exit, 4);
    fixture.platform.put(azuregate::platform::Table::Policy, SERVICE, serde_json::json!(7));
    assert_eq!(azuregate(&format!("{drain} --at {at}")).await.exit, 1);
}

fn told(run: &Run) -> (i32, &str) {
    (run.exit, run.stderr.trim())
}

#[tokio::test]
async fn instances_are_tried_in_turn() {
    let fixture = Fixture::new().await;
    let (dead, at) = (nobody().await, server::serve(&fixture).await);
    for line in [
        format!("status --at {dead} --at {at}"),
        format!("status --at {dead},{at}"),
        format!("{DRAIN} --operation-id op-1 --at {dead},{at}"),
    ] {
        assert_eq!(told(&azuregate(&line).await), (0, ""), "{line}");
    }
    assert_eq!(azuregate(&format!("status --at {dead}")).await.exit, 5);
    assert_eq!(azuregate(&format!("{DRAIN} --operation-id x --at {dead}")).await.exit, 5);

    let mut command = Command::new(env!("CARGO_BIN_EXE_azuregate"));
    command.arg("status").env("AZUREGATE_AT", format!("{dead},{at}"));
    assert_eq!(server::run(command).await.exit, 0);
}

// The first instance takes the call and never answers; nobody knows whether it
// made the change. The second is asked with the same operation id and makes it,
// once. Alone, the first leaves the outcome unknown.
#[tokio::test]
async fn an_instance_that_goes_silent_leaves_a_change_unknown() {
    let fixture = Fixture::new().await;
    let at = server::serve(&fixture).await;
    // Connections to it are opened, and nothing is ever read.
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = silent.local_addr().unwrap();
    let line = format!("{DRAIN} --operation-id op-1 --timeout-ms 300 --at {addr}");
    assert_eq!(azuregate(&line).await.exit, 6);
    assert_eq!(fixture.platform.policy(), initial_policy());
    let line = format!("{DRAIN} --operation-id op-1 --timeout-ms 3000 --at {addr},{at}");
    assert_eq!(azuregate(&line).await.exit, 0);
    assert_eq!(fixture.platform.policy().version, 2);
}

// The first instance may still be at work on the change when the second refuses
// it. To tell that nothing was changed would be a guess.
#[tokio::test]
async fn a_refusal_after_an_unknown_outcome_is_not_believed() {
    let fixture = Fixture::new().await;
    let at = server::serve(&fixture).await;
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = silent.local_addr().unwrap();
    let line = format!("{DRAIN} --operation-id op-1 --timeout-ms 500 --at {addr},{at}");
    let run = azuregate(&line.replace("-01", "-99")).await;
    assert_eq!(run.exit, 6, "{}", run.stderr);
    assert!(run.stderr.contains("no backend server"), "{}", run.stderr);
}
