//! What the stand-in of the platform does wrong when told to.

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

/// How long the client waits for an answer.
const TIMEOUT_MS: u64 = 1_000;

struct Bench {
    server: Arc<Server>,
    addr: SocketAddr,
    platform: HttpPlatform,
}

async fn bench() -> Bench {
    let server = Arc::new(Server::new(InstanceList::default()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, Arc::clone(&server)));
    Bench { server, addr, platform: HttpPlatform::new(addr, TIMEOUT_MS) }
}

fn insert(key: &str) -> Write {
    Write {
        table: Table::Claim,
        key: key.to_owned(),
        expect: Expect::Absent,
        value: Some(serde_json::json!({ "by": key })),
    }
}

/// What a caller can tell of an insert, and what truly became of it.
#[derive(Debug, PartialEq)]
struct Seen {
    answer: Result<Commit, Effect>,
    is_there: bool,
}

#[tokio::test]
async fn an_insert_ends_as_the_fault_says() {
    let done = || Ok(Commit::Done(vec![1]));
    let faults = Faults::default;
    let table = [
        ("ok", faults(), done(), true),
        ("down", Faults { down: true, ..faults() }, Err(Effect::None), false),
        ("slow", Faults { slow_ms: 50, ..faults() }, done(), true),
        // The caller gives up; the write is made later all the same.
        ("too slow", Faults { slow_ms: 1_500, ..faults() }, Err(Effect::Unknown), true),
        ("silent", Faults { silent: true, ..faults() }, Err(Effect::Unknown), false),
        ("lost", Faults { lose_answers: 1, ..faults() }, Err(Effect::Unknown), true),
        ("in rate", Faults { writes_per_s: Some(1), ..faults() }, done(), true),
        ("over rate", Faults { writes_per_s: Some(0), ..faults() }, Err(Effect::None), false),
        ("capacity", Faults::guaranteed_rates(), done(), true),
    ];
    for (case, faults, answer, is_there) in table {
        let bench = bench().await;
        let set = client::post_json(bench.addr, "/lab/faults", &faults).await.unwrap();
        assert!(set.status().is_success(), "{case}");
        let given = bench.platform.transact(&[insert("k")]).await;
        if given.is_err() {
            // A write that is late is made within this time.
            tokio::time::sleep(Duration::from_millis(1_000)).await;
        }
        let row = bench.server.store().read(Table::Claim.as_str(), "k");
        let answer_given = given.map_err(|e: PlatformError| e.effect());
        let seen = Seen { answer: answer_given, is_there: row.is_some() };
        assert_eq!(seen, Seen { answer, is_there }, "{case}");
    }
}

#[tokio::test]
async fn a_transaction_is_made_whole_or_not_at_all() {
    let bench = bench().await;
    let first = bench.platform.transact(&[insert("a")]).await.unwrap();
    assert_eq!(first, Commit::Done(vec![1]));
    let Commit::Conflict { index, row } =
        bench.platform.transact(&[insert("b"), insert("a")]).await.unwrap()
    else {
        panic!("the second insert of a row must conflict");
    };
    assert_eq!((index, row.unwrap().key.as_str()), (1, "a"));
    assert!(bench.platform.read(Table::Claim, "b").await.unwrap().is_none());
    let changes = bench.platform.changes(Table::Claim, 0).await.unwrap();
    assert_eq!((changes.sequence, changes.rows.len()), (1, 1));
}

#[tokio::test]
async fn the_list_lags() {
    let bench = bench().await;
    let list = examples::load("kvas").instance_list();
    let lagging = Faults { list_lag_ms: 1_000, ..Faults::default() };
    client::post_json(bench.addr, "/lab/faults", &lagging).await.unwrap();
    client::post_json(bench.addr, "/lab/instances", &list).await.unwrap();
    assert_eq!(bench.platform.instances().await.unwrap(), InstanceList::default());
    assert_eq!(*bench.server.store().list.latest(), list);
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    assert_eq!(bench.platform.instances().await.unwrap(), list);
}

// The instance reads the list at each poll. While it is the same, the platform
// answers without it, and the instance gives what it read before; once it has
// changed, the new one is read whole, and an older one never comes back.
#[tokio::test]
async fn an_unchanged_list_is_sent_once() {
    let bench = bench().await;
    let mut list = examples::load("kvas").instance_list();
    let whole_bytes = serde_json::to_vec(&list).unwrap().len() as u64;
    bench.server.set_list(list.clone());
    for _ in 0..3 {
        assert_eq!(bench.platform.instances().await.unwrap(), list);
        assert_eq!(bench.server.counts().answer_bytes, whole_bytes);
    }
    list.instances.pop();
    bench.server.set_list(list.clone());
    for _ in 0..2 {
        assert_eq!(bench.platform.instances().await.unwrap(), list);
    }
    assert!(bench.server.counts().answer_bytes < 2 * whole_bytes);
    assert_eq!(bench.server.counts().reads, 5);
}

#[tokio::test]
async fn calls_are_counted() {
    let bench = bench().await;
    bench.platform.transact(&[insert("a")]).await.unwrap();
    bench.platform.put_object("o", "text".into()).await.unwrap();
    assert_eq!(bench.platform.get_object("o").await.unwrap().unwrap(), "text");
    bench.server.faults().down = true;
    bench.platform.instances().await.unwrap_err();
    let counts = bench.server.counts();
    assert_eq!((counts.reads, counts.writes, counts.refused), (1, 2, 1));
}
