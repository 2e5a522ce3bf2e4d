//! What operators decide is in force soon, and stays so.

use std::time::Duration;

use azuregate_platform::fakes::{StoreFault, config_row};
use tokio::time;

use crate::world::{World, eventually, read_request};

#[tokio::test]
async fn a_new_route_is_served_soon() {
    let mut world = World::start(1).await;
    let entry = world.instance(1).await;
    assert_eq!(entry.send(&read_request("/new/x", "r1")).await.unwrap().status, 404);
    world.configure(|config| config.extra_prefixes.push("/new/".to_owned()));
    eventually("the route is served", async || {
        entry.send(&read_request("/new/x", "r2")).await.unwrap().status == 200
    })
    .await;
}

/// The store answers from a copy that is behind, with a configuration from before
/// the one in force. Clients go on as the newer one says.
#[tokio::test]
async fn an_older_configuration_never_comes_back() {
    let mut world = World::start(1).await;
    let old = config_row(&world.config);
    world.configure(|config| config.extra_prefixes.push("/new/".to_owned()));
    let entry = world.instance(1).await;
    world.store.put("op", "config", old);
    time::sleep(Duration::from_millis(800)).await;
    assert_eq!(entry.send(&read_request("/new/x", "r1")).await.unwrap().status, 200);
}

/// The store goes silent on open connections while a change is made, and comes
/// back. The instance notices that its watch is dead, and has the change in force
/// within its wait and a retry.
#[tokio::test]
async fn a_watch_that_went_silent_is_noticed() {
    let mut world = World::start(1).await;
    let entry = world.instance(1).await;
    world.store.set_fault(StoreFault::Hang);
    time::sleep(Duration::from_millis(300)).await;
    world.configure(|config| config.extra_prefixes.push("/new/".to_owned()));
    world.store.set_fault(StoreFault::None);
    eventually("the route is served", async || {
        entry.send(&read_request("/new/x", "r1")).await.unwrap().status == 200
    })
    .await;
}

/// The store drops its history while an instance watches: the tables are read
/// anew, and nothing is missed.
#[tokio::test]
async fn a_lost_history_is_read_anew() {
    let mut world = World::start(1).await;
    let entry = world.instance(1).await;
    world.configure(|config| config.extra_prefixes.push("/new/".to_owned()));
    world.store.discard_history();
    eventually("the route is served", async || {
        entry.send(&read_request("/new/x", "r1")).await.unwrap().status == 200
    })
    .await;
}

/// A row that another writer left cut short is passed over; the configuration in
/// force stays, and so do the servers.
#[tokio::test]
async fn rows_that_cannot_be_read_change_nothing() {
    let world = World::start(1).await;
    let entry = world.instance(1).await;
    world.store.put("op", "config", &br#"{"configVersion":"000000ff","listen"#[..]);
    world.store.put("servers", "strange", &br#"{"backend":"shop","state":"asleep"}"#[..]);
    world.store.put("servers", "noise", &[0xff, 0x00][..]);
    time::sleep(Duration::from_millis(800)).await;
    assert_eq!(entry.send(&read_request("/read/x", "r1")).await.unwrap().status, 200);
}

/// An instance starts while the store refuses it. It says that it is not ready,
/// and promises clients that nothing has run.
#[tokio::test]
async fn without_a_configuration_nothing_is_served() {
    let world = World::start(1).await;
    world.store.set_fault(StoreFault::ErrorStatus(503));
    let entry = world.start_instance(1);
    eventually("the instance answers", async || entry.ready().await == 503).await;
    let answer = entry.send(&read_request("/read/x", "r1")).await.unwrap();
    assert_eq!(answer.status, 503);
    world.store.set_fault(StoreFault::None);
    eventually("the instance is ready", async || entry.ready().await == 200).await;
}

/// Guards against denying a route that an instance cannot know yet, since it has lost
/// contact with the store.
#[tokio::test]
async fn without_contact_no_route_is_denied() {
    let world = World::start(1).await;
    let entry = world.instance(1).await;
    world.store.set_fault(StoreFault::Hang);
    let denied = |path| {
        let entry = &entry;
        async move { entry.send(&read_request(path, "r1")).await.unwrap().status }
    };
    assert_eq!(denied("/new/x").await, 404);
    eventually("the route is not denied", async || denied("/new/x").await == 503).await;
    assert_eq!(denied("/read/x").await, 200);
    world.store.set_fault(StoreFault::None);
    eventually("the route is denied again", async || denied("/new/x").await == 404).await;
}
