//! Operators' changes through separate processes.

use std::{
    net::SocketAddr,
    process::{Child, Command, Output, Stdio},
    time::{Duration, Instant},
};

use azuregate_lab::{client, platform::Faults};

use crate::deployment::{Deployment, azuregate};

/// How long a change may take to be in force everywhere before a test gives up.
const PATIENCE: Duration = Duration::from_secs(20);

const DRAIN: &str = "drain start --service starter-desk --backend starter-desk-02";

fn run(at: SocketAddr, line: &str) -> Output {
    let mut command = Command::new(azuregate());
    command.args(line.split(' ')).arg("--at").arg(at.to_string()).output().unwrap()
}

fn exit(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn version(at: SocketAddr) -> u64 {
    let output = run(at, "policy get --service starter-desk --output json");
    let policy: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    policy["version"].as_u64().unwrap()
}

async fn set_faults(deployment: &Deployment, faults: &Faults) {
    let addr = deployment.example.platform_addr;
    let answer = client::post_json(addr, "/lab/faults", faults).await.unwrap();
    assert!(answer.status().is_success(), "{answer:?}");
}

async fn wait_for_version(deployment: &Deployment, wanted: u64) {
    let start = Instant::now();
    for index in 0..deployment.entries.len() {
        while version(deployment.operators(index)) < wanted {
            assert!(start.elapsed() < PATIENCE, "entry {index} never got version {wanted}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

// The operator asks one instance, whose answer says that the change is in force
// there; the others hear of it from their peers.
#[tokio::test]
async fn a_change_through_one_instance_is_in_force_on_all() {
    let deployment = Deployment::start("operators_spread").await;
    assert_eq!(exit(&run(deployment.operators(1), DRAIN)), 0);
    assert_eq!(version(deployment.operators(1)), 2);
    wait_for_version(&deployment, 2).await;
    for index in 0..deployment.entries.len() {
        let output = run(deployment.operators(index), "drain show");
        let shown = String::from_utf8_lossy(&output.stdout);
        assert!(shown.contains("starter-desk-02  starter-desk"), "entry {index}: {output:?}");
    }
}

// The platform makes the change and its answer is lost, on the way to one
// instance. The operator is told that it was made, and repeats it through another
// instance to be sure: it is made once.
#[tokio::test]
async fn a_change_whose_answer_is_lost_is_made_once() {
    let deployment = Deployment::start("operators_lost").await;
    set_faults(&deployment, &Faults { lose_answers: 1, ..Faults::default() }).await;
    let line = format!("{DRAIN} --operation-id night-1");
    assert_eq!(exit(&run(deployment.operators(0), &line)), 0);
    let again = run(deployment.operators(2), &line);
    assert_eq!(exit(&again), 0);
    let told = String::from_utf8(again.stdout).unwrap();
    assert!(told.contains("accepted by an earlier call as version 2"), "{told}");
    assert_eq!(version(deployment.operators(2)), 2);
}

// The platform refuses every call. Nothing can be changed, and the operator is
// told so; what is in force stays readable.
#[tokio::test]
async fn a_platform_that_is_down_changes_nothing() {
    let deployment = Deployment::start("operators_down").await;
    set_faults(&deployment, &Faults { down: true, ..Faults::default() }).await;
    let line = format!("{DRAIN} --operation-id night-1");
    assert_eq!(exit(&run(deployment.operators(0), &line)), 5);
    assert_eq!(version(deployment.operators(0)), 1);
    set_faults(&deployment, &Faults::default()).await;
    assert_eq!(exit(&run(deployment.operators(0), &line)), 0);
    assert_eq!(version(deployment.operators(0)), 2);
}

// The platform is slow. While an operator's change waits for it, the instance is
// told to stop. It answers the operator before it ends; a connection that just
// broke would leave the operator with an unknown outcome.
#[tokio::test]
async fn a_planned_stop_settles_the_change_in_progress() {
    let mut deployment = Deployment::start("operators_stop").await;
    set_faults(&deployment, &Faults { slow_ms: 500, ..Faults::default() }).await;
    let at = deployment.operators(0).to_string();
    let call = Command::new(azuregate())
        .args(format!("{DRAIN} --operation-id night-1 --at {at}").split(' '))
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The change reads twice and writes once, half a second each.
    tokio::time::sleep(Duration::from_millis(300)).await;
    terminate(&deployment.entries[0]);
    let output = call.wait_with_output().unwrap();
    assert_eq!(exit(&output), 0, "{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(deployment.entries[0].wait().unwrap().code(), Some(0));
    set_faults(&deployment, &Faults::default()).await;
    assert_eq!(exit(&run(deployment.operators(1), DRAIN)), 3, "it is drained already");
}

fn terminate(child: &Child) {
    let pid = rustix::process::Pid::from_child(child);
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
}
