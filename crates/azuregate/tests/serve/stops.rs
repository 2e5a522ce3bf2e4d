//! A planned stop cuts nothing off.

use std::time::{Duration, Instant};

use azuregate_platform::stand_in::Behaviour;
use tokio::time;

use crate::world::{Client, World, read_request, write_request};

/// A client has a request at work when the stop begins, sends another one on the
/// same connection after it, and connects anew later still. All are answered; the
/// answers say that the connection closes; and the process ends in time.
#[tokio::test]
async fn requests_around_a_stop_are_answered() {
    let world = World::start(1).await;
    let entry = world.instance(1).await;
    world.backends[0].set(Behaviour::Slow(Duration::from_millis(300)));
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
