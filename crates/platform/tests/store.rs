//! The store client against a fake store.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

use std::time::Duration;

use azuregate_core::replica::{Row, Table};
use azuregate_platform::{
    fakes::{FakeStore, StoreFault},
    store::{StoreClient, StoreError},
};
use tokio::{net::TcpListener, time};

async fn start() -> (FakeStore, StoreClient) {
    let fake = FakeStore::start("127.0.0.1").await;
    let store = StoreClient::new(fake.addr());
    (fake, store)
}

fn keys(rows: &[Row]) -> Vec<&str> {
    rows.iter().map(|row| row.key.as_str()).collect()
}

#[tokio::test]
async fn read_collects_all_pages() {
    let (fake, mut store) = start().await;
    fake.set_page_size(2);
    for key in ["a", "b", "b+", "c d", "e"] {
        fake.put("servers", key, key);
    }
    fake.put("op", "config", "x");
    let rows = store.read(Table::Backends).await.unwrap();
    assert_eq!(keys(&rows.rows), ["a", "b", "b+", "c d", "e"]);
    assert_eq!(rows.rows[3].value.as_deref(), Some("c d"));
    assert_eq!(rows.version, 6);
}

#[tokio::test]
async fn watch_returns_changed_and_removed_rows() {
    let (fake, mut store) = start().await;
    fake.put("servers", "a", "1");
    let version = store.read(Table::Backends).await.unwrap().version;
    fake.put("servers", "b", "2");
    fake.remove("servers", "a");
    let rows = store.watch(Table::Backends, version, 5_000).await.unwrap();
    assert_eq!(keys(&rows.rows), ["b", "a"]);
    assert_eq!((rows.rows[0].is_removed, rows.rows[1].is_removed), (false, true));
    assert!(rows.rows[0].version < rows.rows[1].version);
    let rows = store.watch(Table::Backends, rows.version, 50).await.unwrap();
    assert!(rows.rows.is_empty(), "no further change within the wait time");
}

#[tokio::test]
async fn reads_return_written_rows() {
    let (_fake, mut store) = start().await;
    store.put(Table::Members, "entry-1", b"here").await.unwrap();
    let rows = store.read(Table::Members).await.unwrap();
    assert_eq!(rows.rows[0].value.as_deref(), Some("here"));
    store.remove(Table::Members, "entry-1").await.unwrap();
    store.remove(Table::Members, "entry-1").await.unwrap();
    assert!(store.read(Table::Members).await.unwrap().rows.is_empty());
}

#[tokio::test]
async fn rows_of_quarantined_requests_are_written_and_removed() {
    let (fake, mut store) = start().await;
    store.put_quarantined("1f", b"value").await.unwrap();
    assert_eq!(keys(&store.read_quarantine().await.unwrap()), ["1f"]);
    assert_eq!(fake.keys("quarantine"), ["1f"]);
    store.remove_quarantined("1f").await.unwrap();
    assert!(store.read_quarantine().await.unwrap().is_empty());
}

/// A refused call has no effect, while one without a response may have had one. The
/// client can be used after either.
#[tokio::test]
async fn refusals_and_lost_responses_are_distinguished() {
    let (fake, mut store) = start().await;
    for status in [429, 503] {
        fake.set_fault(StoreFault::ErrorStatus(status));
        let e = store.put(Table::Members, "refused", b"1").await.unwrap_err();
        assert_eq!(e, StoreError::Refused(status));
    }
    assert!(fake.keys("instances").is_empty());
    fake.set_fault(StoreFault::DropResponse);
    let e = store.put(Table::Members, "lost", b"1").await.unwrap_err();
    assert!(matches!(e, StoreError::NoResponse(_)), "{e}");
    assert_eq!(fake.keys("instances"), ["lost"]);
    fake.set_fault(StoreFault::None);
    store.put(Table::Members, "again", b"1").await.unwrap();
}

#[tokio::test]
async fn watch_reports_expired_history() {
    let (fake, mut store) = start().await;
    fake.put("servers", "a", "1");
    fake.discard_history();
    let e = store.watch(Table::Backends, 1, 1_000).await.unwrap_err();
    assert_eq!(e, StoreError::HistoryExpired);
}

/// Guards against calls that never return if the store accepts them and does not
/// respond, and against reuse of their connection.
#[tokio::test]
async fn call_to_a_hanging_store_times_out() {
    let (fake, mut store) = start().await;
    store.read(Table::Backends).await.unwrap();
    fake.set_fault(StoreFault::Hang);
    let call = time::timeout(Duration::from_secs(8), store.watch(Table::Backends, 0, 100));
    let e = call.await.expect("the client has a timeout of its own").unwrap_err();
    assert_eq!(e, StoreError::NoResponse("timeout".to_owned()));
    fake.set_fault(StoreFault::None);
    store.read(Table::Backends).await.unwrap();
}

#[tokio::test]
async fn unreachable_store_is_reported_as_no_response() {
    let addr = {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        listener.local_addr().unwrap()
    };
    let e = StoreClient::new(addr).read(Table::Operator).await.unwrap_err();
    assert!(matches!(e, StoreError::NoResponse(_)), "{e}");
}
