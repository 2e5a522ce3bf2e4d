//! Tests of the simulated platform and its injected faults.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use azuregate::platform::{
    Commit, Effect, Expect, HttpPlatform, Platform, PlatformError, Table, Write,
};
use azuregate_core::snapshot::InstanceList;
use azuregate_lab::{
    client,
    platform::{Faults, Server, serve},
};
use tokio::net::TcpListener;

use crate::examples;

/// The client's timeout.
const TIMEOUT_MS: u64 = 1_000;

struct TestPlatform {
    server: Arc<Server>,
    addr: SocketAddr,
    platform: HttpPlatform,
}

async fn start_platform() -> TestPlatform {
    let server = Arc::new(Server::new(InstanceList::default()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, Arc::clone(&server)));
    TestPlatform { server, addr, platform: HttpPlatform::new(addr, TIMEOUT_MS) }
}

fn insert(key: &str) -> Write {
    Write {
        table: Table::Claim,
        key: key.to_owned(),
        expect: Expect::Absent,
        value: Some(serde_json::json!({ "by": key })),
    }
}

/// The result of an insert as the client sees it, and whether the row exists.
#[derive(Debug, PartialEq)]
struct Outcome {
    write: Result<Commit, Effect>,
    row_exists: bool,
}

#[tokio::test]
async fn faults_determine_the_outcome_of_an_insert() {
    let done = || Ok(Commit::Done(vec![1]));
    let faults = Faults::default;
    let table = [
        ("ok", faults(), done(), true),
        ("down", Faults { down: true, ..faults() }, Err(Effect::None), false),
        ("slow", Faults { slow_ms: 50, ..faults() }, done(), true),
        // The client times out, but the write still takes effect.
        ("too slow", Faults { slow_ms: 1_500, ..faults() }, Err(Effect::Unknown), true),
        ("silent", Faults { silent: true, ..faults() }, Err(Effect::Unknown), false),
        ("lost", Faults { lose_answers: 1, ..faults() }, Err(Effect::Unknown), true),
        ("in rate", Faults { writes_per_s: Some(1), ..faults() }, done(), true),
        ("over rate", Faults { writes_per_s: Some(0), ..faults() }, Err(Effect::None), false),
        ("capacity", Faults::guaranteed_rates(), done(), true),
    ];
    for (case, faults, expected, row_exists) in table {
        let test = start_platform().await;
        let set = client::post_json(test.addr, "/lab/faults", &faults).await.unwrap();
        assert!(set.status().is_success(), "{case}");
        let response = test.platform.transact(&[insert("k")]).await;
        if response.is_err() {
            // A delayed write takes effect within this time.
            tokio::time::sleep(Duration::from_millis(1_000)).await;
        }
        let row = test.server.store().read(Table::Claim.as_str(), "k");
        let result = response.map_err(|e: PlatformError| e.effect());
        let outcome = Outcome { write: result, row_exists: row.is_some() };
        assert_eq!(outcome, Outcome { write: expected, row_exists }, "{case}");
    }
}

#[tokio::test]
async fn transactions_are_atomic() {
    let test = start_platform().await;
    let first = test.platform.transact(&[insert("a")]).await.unwrap();
    assert_eq!(first, Commit::Done(vec![1]));
    let Commit::Conflict { index, row } =
        test.platform.transact(&[insert("b"), insert("a")]).await.unwrap()
    else {
        panic!("the second insert of a row must conflict");
    };
    assert_eq!((index, row.unwrap().key.as_str()), (1, "a"));
    assert!(test.platform.read(Table::Claim, "b").await.unwrap().is_none());
    let changes = test.platform.changes(Table::Claim, 0).await.unwrap();
    assert_eq!((changes.sequence, changes.rows.len()), (1, 1));
}

#[tokio::test]
async fn list_changes_are_delayed() {
    let test = start_platform().await;
    let list = examples::load("kvas").instance_list();
    let lagging = Faults { list_lag_ms: 1_000, ..Faults::default() };
    client::post_json(test.addr, "/lab/faults", &lagging).await.unwrap();
    client::post_json(test.addr, "/lab/instances", &list).await.unwrap();
    assert_eq!(test.platform.instances().await.unwrap(), InstanceList::default());
    assert_eq!(*test.server.store().list.latest(), list);
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    assert_eq!(test.platform.instances().await.unwrap(), list);
}

// An unchanged list must not be sent again on each poll, and the client must never
// return an outdated copy after a change.
#[tokio::test]
async fn an_unchanged_list_is_sent_once() {
    let test = start_platform().await;
    let mut list = examples::load("kvas").instance_list();
    let list_bytes = serde_json::to_vec(&list).unwrap().len() as u64;
    test.server.set_list(list.clone());
    for _ in 0..3 {
        assert_eq!(test.platform.instances().await.unwrap(), list);
        assert_eq!(test.server.counts().answer_bytes, list_bytes);
    }
    list.instances.pop();
    test.server.set_list(list.clone());
    for _ in 0..2 {
        assert_eq!(test.platform.instances().await.unwrap(), list);
    }
    assert!(test.server.counts().answer_bytes < 2 * list_bytes);
    assert_eq!(test.server.counts().reads, 5);
}

#[tokio::test]
async fn calls_are_counted() {
    let test = start_platform().await;
    test.platform.transact(&[insert("a")]).await.unwrap();
    test.platform.put_object("o", "text".into()).await.unwrap();
    assert_eq!(test.platform.get_object("o").await.unwrap().unwrap(), "text");
    test.server.faults().down = true;
    test.platform.instances().await.unwrap_err();
    let counts = test.server.counts();
    assert_eq!((counts.reads, counts.writes, counts.refused), (1, 2, 1));
}
