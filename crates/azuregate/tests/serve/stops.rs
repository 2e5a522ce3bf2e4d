//! A planned stop cuts nothing off.

use std::{
    fs::{self, File},
    io::Write,
    process::{Command, Stdio},
    time::{Duration, Instant},
};

use azuregate_platform::fakes::Behaviour;
use rustix::{
    fs::{CWD, Mode, mkfifoat},
    process::{Pid, Signal, kill_process},
};
use tokio::time;

use crate::world::{Client, World, eventually, read_request, write_request};

/// A client has a request at work when the stop begins, sends another one on the
/// same connection after it, and connects anew later still. All are answered; the
/// answers say that the connection closes; and the process ends in time.
#[tokio::test]
async fn requests_around_a_stop_are_answered() {
    let world = World::start(1).await;
    let entry = world.instance(1).await;
    world.backends[0].set(Behaviour::Delay(Duration::from_millis(300)));
    let mut client = Client::connect(entry.traffic).await;
    let mut idle = Client::connect(entry.traffic).await;
    client.send(&write_request("/write/x", "w1", "body")).await;
    time::sleep(Duration::from_millis(100)).await;
    entry.stopper.stop();
    let stopped_at = Instant::now();
    let answer = client.answer().await.unwrap();
    assert_eq!((answer.status, answer.header("connection")), (200, Some("close")));
    idle.send(&read_request("/read/x", "r1")).await;
    assert_eq!(idle.answer().await.unwrap().status, 200);
    assert!(idle.answer().await.is_none(), "the connection closes after its answer");

    // Late enough that idle connections are closed already.
    time::sleep_until((stopped_at + Duration::from_millis(2_700)).into()).await;
    let mut late = Client::connect(entry.traffic).await;
    time::sleep(Duration::from_millis(100)).await;
    late.send(&read_request("/read/x", "r2")).await;
    assert_eq!(late.answer().await.unwrap().status, 200);
    drop(late);

    let thread = entry.thread;
    tokio::task::spawn_blocking(move || thread.join().unwrap()).await.unwrap();
    assert!(stopped_at.elapsed() < Duration::from_secs(6), "{:?}", stopped_at.elapsed());
    assert!(world.store.keys("instances").is_empty(), "its row is removed");
}

/// Guards against a stop that comes during the start ending the process by its signal.
#[tokio::test]
async fn a_stop_during_the_start_is_a_planned_one() {
    let world = World::start(1).await;
    let settings = world.settings_file(1);
    let _ = fs::remove_file(&settings);
    mkfifoat(CWD, &settings, Mode::RUSR | Mode::WUSR).unwrap();
    let mut process = Command::new(env!("CARGO_BIN_EXE_azuregate"))
        .args(["serve", "--settings"])
        .arg(&settings)
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    // Whoever opens a FIFO for writing waits until the process opens it for reading.
    let path = settings.clone();
    let opening = tokio::task::spawn_blocking(move || File::options().write(true).open(path));
    let mut file = opening.await.unwrap().unwrap();
    kill_process(Pid::from_child(&process), Signal::TERM).unwrap();
    // Whoever reads the settings again finds a file.
    fs::remove_file(&settings).unwrap();
    fs::write(&settings, world.settings_text(1)).unwrap();
    // A process that the signal has ended reads nothing.
    let _ = file.write_all(world.settings_text(1).as_bytes());
    drop(file);
    let mut ended = None;
    eventually("the process has ended", async || {
        ended = process.try_wait().unwrap();
        ended.is_some()
    })
    .await;
    assert!(ended.unwrap().success(), "{ended:?}");
}
