//! Reloading of the settings file, signals, and `--check`.

use std::{
    io::Read,
    process::{Command, Stdio},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use tokio::time;

use crate::cluster::{TestCluster, eventually, get};

/// Guards against ignoring a file change without SIGHUP, and against applying an invalid
/// file.
#[tokio::test]
async fn settings_file_change_is_applied_without_signal() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    let path = "/-/resolve?name=shop.example&region=region-1&zone=zone-a";
    let lookup_body = async || get(instance.lookup_addr, path).await.unwrap().body;
    assert!(lookup_body().await.contains("\"ttlS\":2.0"));
    let text = cluster.settings_text(1) + "terms.bounds.ttl_max_s=1\n";
    std::fs::write(cluster.settings_file(1), &text).unwrap();
    eventually("the new bound is applied", async || lookup_body().await.contains("\"ttlS\":1.0"))
        .await;
    std::fs::write(cluster.settings_file(1), text.replace("ttl_max_s=1", "ttl_max_s=x")).unwrap();
    time::sleep(Duration::from_millis(2_500)).await;
    assert!(lookup_body().await.contains("\"ttlS\":1.0"));
}

/// Guards against SIGHUP ending the process, and SIGTERM ending it without a graceful
/// shutdown.
#[tokio::test]
async fn sighup_reloads_and_sigterm_stops() {
    let cluster = TestCluster::start(1).await;
    std::fs::write(cluster.settings_file(2), cluster.settings_text(2)).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_azuregate"))
        .args(["serve", "--settings"])
        .arg(cluster.settings_file(2))
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let pid = Pid::from_child(&program);
    eventually("the instance is registered", async || !cluster.store.keys("instances").is_empty())
        .await;
    kill_process(pid, Signal::HUP).unwrap();
    time::sleep(Duration::from_millis(500)).await;
    kill_process(pid, Signal::TERM).unwrap();
    eventually("the process has exited", async || program.try_wait().unwrap().is_some()).await;
    assert_eq!(program.wait().unwrap().code(), Some(0));
    let mut log = String::new();
    program.stdout.take().unwrap().read_to_string(&mut log).unwrap();
    for event in [
        "entry instance started",
        "settings reloaded",
        "graceful shutdown started",
        "entry instance stopped",
    ] {
        assert!(log.contains(event), "{event} is not in\n{log}");
    }
}

/// Guards against `--check` accepting invalid settings or reporting only the first one.
#[tokio::test]
async fn check_reports_each_invalid_field() {
    let cluster = TestCluster::start(0).await;
    let text = cluster.settings_text(1).replace("self.zone=zone-a", "self.zone=");
    let text = text.replace("self.ip=", "self.ip=x");
    std::fs::write(cluster.settings_file(1), text).unwrap();
    let run = Command::new(env!("CARGO_BIN_EXE_azuregate"))
        .args(["serve", "--check", "--settings"])
        .arg(cluster.settings_file(1))
        .output()
        .unwrap();
    assert_eq!(run.status.code(), Some(2));
    let stderr = String::from_utf8(run.stderr).unwrap();
    assert!(stderr.contains("self.zone is missing"), "{stderr}");
    assert!(stderr.contains("self.ip: \"x127."), "{stderr}");
}
