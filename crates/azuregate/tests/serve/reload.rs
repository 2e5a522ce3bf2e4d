//! Settings that change, and the process that reads them.

use std::{
    io::Read,
    process::{Command, Stdio},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use tokio::time;

use crate::cluster::{TestCluster, eventually, get};

/// The file changes without a signal: the time for which clients may keep an
/// answer is shorter soon. A file that is wrong changes nothing.
#[tokio::test]
async fn settings_file_change_is_applied_without_signal() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    let path = "/-/resolve?name=shop.example&region=region-1&zone=zone-a";
    let lookup_body = async || get(instance.lookup_addr, path).await.unwrap().body;
    assert!(lookup_body().await.contains("\"ttlS\":2.0"));
    let text = cluster.settings_text(1) + "terms.bounds.ttl_max_s=1\n";
    std::fs::write(cluster.settings_file(1), &text).unwrap();
    eventually("the new bound holds", async || lookup_body().await.contains("\"ttlS\":1.0")).await;
    std::fs::write(cluster.settings_file(1), text.replace("ttl_max_s=1", "ttl_max_s=x")).unwrap();
    time::sleep(Duration::from_millis(2_500)).await;
    assert!(lookup_body().await.contains("\"ttlS\":1.0"));
}

/// The real program gets SIGHUP, which it survives, and SIGTERM, after which it
/// ends by itself with status 0. Its log tells of start, reload and stop.
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
    eventually("it registers", async || !cluster.store.keys("instances").is_empty()).await;
    kill_process(pid, Signal::HUP).unwrap();
    time::sleep(Duration::from_millis(500)).await;
    kill_process(pid, Signal::TERM).unwrap();
    eventually("it ends", async || program.try_wait().unwrap().is_some()).await;
    assert_eq!(program.wait().unwrap().code(), Some(0));
    let mut log = String::new();
    program.stdout.take().unwrap().read_to_string(&mut log).unwrap();
    for event in
        ["entry instance started", "settings reloaded", "graceful shutdown started", "entry instance stopped"]
    {
        assert!(log.contains(event), "{event} is not in\n{log}");
    }
}

/// `--check` names each field that is wrong, and changes nothing.
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
