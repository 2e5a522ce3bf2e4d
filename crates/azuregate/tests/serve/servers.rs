//! Backend servers that leave, come back, or whose rows run out.

use std::time::Duration;

use azuregate_platform::fakes::{Behaviour, StoreFault, backend_row};
use tokio::time;

use crate::world::{Instance, SERVICE, World, eventually, read_request};

/// Sends reads about many objects, and returns how many reached each server.
async fn spread(world: &World, entry: &Instance, name: &str) -> Vec<usize> {
    for number in 0..30 {
        let request = read_request("/read/x", &format!("{name}-{number}"));
        let request = request.replace("X-Affinity-Key: 17", &format!("X-Affinity-Key: k{number}"));
        entry.send(&request).await.unwrap();
    }
    let count = |seen: &azuregate_platform::fakes::ReceivedRequest| seen.id.starts_with(name);
    world
        .backends
        .iter()
        .map(|backend| backend.received().iter().filter(|s| count(s)).count())
        .collect()
}

#[tokio::test]
async fn objects_are_spread_over_all_servers() {
    let world = World::start(3).await;
    let entry = world.instance(1).await;
    let counts = spread(&world, &entry, "all").await;
    assert!(counts.iter().all(|&count| count > 0), "{counts:?}");
}

/// A server says that it drains, or its row is removed. Soon nothing new reaches
/// it, and the others serve its objects.
#[tokio::test]
async fn a_server_that_leaves_gets_nothing_new() {
    for is_announced in [true, false] {
        let world = World::start(3).await;
        let entry = world.instance(1).await;
        let leaving = &world.backends[1];
        match is_announced {
            true => {
                let row = backend_row(SERVICE, leaving.addr(), "zone-a", "draining");
                world.store.put("servers", leaving.id(), row);
            }
            false => world.store.remove("servers", leaving.id()),
        }
        let mut round = 0;
        eventually("nothing new reaches it", async || {
            round += 1;
            let counts = spread(&world, &entry, &format!("round{round}")).await;
            counts[1] == 0 && counts.iter().sum::<usize>() == 30
        })
        .await;
    }
}

/// An operator evacuates a zone, and takes it back.
#[tokio::test]
async fn an_evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let mut world = World::start(1).await;
    let away = world.add_backend("zone-c").await;
    let entry = world.instance(1).await;
    world.store.put("op", "evacuate/zone-c", "{}");
    let mut round = 0;
    eventually("nothing new reaches the zone", async || {
        round += 1;
        spread(&world, &entry, &format!("round{round}")).await == [30, 0]
    })
    .await;
    world.store.remove("op", "evacuate/zone-c");
    eventually("the zone serves again", async || {
        spread(&world, &entry, "back").await;
        away.received().iter().any(|seen| seen.id.starts_with("back"))
    })
    .await;
}

/// The store is away, and all rows run out meanwhile. Clients are served all the
/// time, and also in the moment after the store's return in which no server has
/// written its row yet.
#[tokio::test]
async fn rows_that_ran_out_while_the_store_was_away_are_still_believed() {
    let world = World::start(2).await;
    let entry = world.instance(1).await;
    world.store.set_fault(StoreFault::ErrorStatus(503));
    time::sleep(Duration::from_millis(1_500)).await;
    world.backends.iter().for_each(|backend| world.store.remove("servers", backend.id()));
    world.store.set_fault(StoreFault::None);
    let start = time::Instant::now();
    while start.elapsed() < Duration::from_millis(1_500) {
        let answer = entry.send(&read_request("/read/x", "r1")).await.unwrap();
        assert_eq!(answer.status, 200, "after {:?}", start.elapsed());
        time::sleep(Duration::from_millis(50)).await;
    }
    eventually("servers without rows are given up", async || {
        entry.send(&read_request("/read/x", "r2")).await.unwrap().status == 503
    })
    .await;
}

/// One of three servers is silent beyond the route's time. Its first clients get
/// no answer in time; later ones are served by the others, which is only possible
/// if requests that ran out of time count.
#[tokio::test]
async fn a_server_that_never_answers_in_time_is_avoided() {
    let mut world = World::start(3).await;
    world.configure(|config| config.timeout_ms = 200);
    let entry = world.instance(1).await;
    world.backends[1].set(Behaviour::Delay(Duration::from_secs(5)));
    let mut round = 0;
    eventually("nothing new reaches it", async || {
        round += 1;
        spread(&world, &entry, &format!("round{round}")).await[1] == 0
    })
    .await;
}
