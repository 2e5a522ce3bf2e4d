//! A graceful shutdown does not interrupt requests.

use std::{
    fs::{self, File},
    io::{Read, Write},
    process::{Command, Stdio},
    time::{Duration, Instant},
};

use azuregate_platform::fakes::Behaviour;
use rustix::{
    fs::{CWD, Mode, mkfifoat},
    process::{Pid, Signal, kill_process},
};
use tokio::time;

use crate::cluster::{Client, TestCluster, eventually, get_request, post_request};

/// Guards against failing requests that are in flight when the shutdown begins, or that
/// arrive during it on open and on new connections.
#[tokio::test]
async fn requests_during_shutdown_are_answered() {
    let cluster = TestCluster::start(1).await;
    let instance = cluster.start_ready_instance(1).await;
    cluster.backends[0].set(Behaviour::Delay(Duration::from_millis(300)));
    let mut client = Client::connect(instance.traffic_addr).await;
    let mut idle = Client::connect(instance.traffic_addr).await;
    client.send(&post_request("/write/x", "w1", "body")).await;
    time::sleep(Duration::from_millis(100)).await;
    instance.stopper.stop();
    let stopped_at = Instant::now();
    let response = client.response().await.unwrap();
    assert_eq!((response.status, response.header("connection")), (200, Some("close")));
    idle.send(&get_request("/read/x", "r1")).await;
    assert_eq!(idle.response().await.unwrap().status, 200);
    assert!(idle.response().await.is_none(), "the connection closes after its response");

    // Idle connections have been closed by then.
    time::sleep_until((stopped_at + Duration::from_millis(2_700)).into()).await;
    let mut late = Client::connect(instance.traffic_addr).await;
    time::sleep(Duration::from_millis(100)).await;
    late.send(&get_request("/read/x", "r2")).await;
    assert_eq!(late.response().await.unwrap().status, 200);
    drop(late);

    let thread = instance.thread;
    tokio::task::spawn_blocking(move || thread.join().unwrap()).await.unwrap();
    assert!(stopped_at.elapsed() < Duration::from_secs(6), "{:?}", stopped_at.elapsed());
    assert!(cluster.store.keys("instances").is_empty(), "its row is removed");
}

/// Guards against SIGTERM during startup killing the process.
#[tokio::test]
async fn sigterm_during_startup_shuts_down_gracefully() {
    let cluster = TestCluster::start(1).await;
    let settings = cluster.settings_file(1);
    let _ = fs::remove_file(&settings);
    mkfifoat(CWD, &settings, Mode::RUSR | Mode::WUSR).unwrap();
    let mut process = Command::new(env!("CARGO_BIN_EXE_azuregate"))
        .args(["serve", "--settings"])
        .arg(&settings)
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    // Opening a FIFO for writing blocks until the process opens it for reading.
    let path = settings.clone();
    let opening = tokio::task::spawn_blocking(move || File::options().write(true).open(path));
    let mut file = opening.await.unwrap().unwrap();
    kill_process(Pid::from_child(&process), Signal::TERM).unwrap();
    // Later reads of the settings get a regular file.
    fs::remove_file(&settings).unwrap();
    fs::write(&settings, cluster.settings_text(1)).unwrap();
    // The write fails if the signal has already ended the process.
    let _ = file.write_all(cluster.settings_text(1).as_bytes());
    drop(file);
    let mut ended = None;
    eventually("the process has exited", async || {
        ended = process.try_wait().unwrap();
        ended.is_some()
    })
    .await;
    assert!(ended.unwrap().success(), "{ended:?}");
}

/// Guards against a grace period that starts when a busy process gets to handle the signal.
#[tokio::test]
async fn time_of_a_signal_is_noticed_while_the_process_is_busy() {
    const BUSY: Duration = Duration::from_millis(1_500);
    let cluster = TestCluster::start(1).await;
    let settings = cluster.settings_file(1);
    fs::write(&settings, cluster.settings_text(1)).unwrap();
    let mut process = Command::new(env!("CARGO_BIN_EXE_azuregate"))
        .args(["serve", "--settings"])
        .arg(&settings)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let pid = Pid::from_child(&process);
    eventually("the instance is registered", async || !cluster.store.keys("instances").is_empty())
        .await;
    // Reading a FIFO blocks its only thread that handles requests.
    let text = settings.with_extension("text");
    fs::write(&text, cluster.settings_text(1)).unwrap();
    fs::remove_file(&settings).unwrap();
    mkfifoat(CWD, &settings, Mode::RUSR | Mode::WUSR).unwrap();
    kill_process(pid, Signal::HUP).unwrap();
    let path = settings.clone();
    let opening = tokio::task::spawn_blocking(move || File::options().write(true).open(path));
    let mut fifo = opening.await.unwrap().unwrap();
    kill_process(pid, Signal::TERM).unwrap();
    let signal_at = Instant::now();
    time::sleep(BUSY).await;
    fs::rename(&text, &settings).unwrap();
    fifo.write_all(cluster.settings_text(1).as_bytes()).unwrap();
    drop(fifo);
    eventually("the process has exited", async || process.try_wait().unwrap().is_some()).await;
    assert!(signal_at.elapsed() < Duration::from_millis(4_500), "{:?}", signal_at.elapsed());
    let mut log = String::new();
    process.stdout.take().unwrap().read_to_string(&mut log).unwrap();
    let late_ms = log.split("late_ms=").nth(1).and_then(|rest| rest.split_whitespace().next());
    let late_ms: u64 = late_ms.unwrap().parse().unwrap();
    assert!((1_400..3_000).contains(&late_ms), "{late_ms}");
}
