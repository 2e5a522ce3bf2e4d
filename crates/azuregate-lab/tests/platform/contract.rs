//! The contract that every `Platform` satisfies.

use azuregate::platform::{
    Commit, Effect, Expect, HttpPlatform, Platform, PlatformError, Row, Table, Write,
};
use bytes::Bytes;
use serde_json::json;

use crate::{
    fake::FakePlatform,
    under_test::{Fault, InMemory, PlatformUnderTest, fixed_response_server, over_http},
};

fn write(table: Table, key: &str, expect: Expect, value: Option<u64>) -> Write {
    let value = value.map(|value| json!({ "value": value }));
    Write { table, key: key.to_owned(), expect, value }
}

fn row(key: &str, version: u64, value: u64) -> Row {
    Row { key: key.to_owned(), version, value: json!({ "value": value }) }
}

fn effect<T>(result: Result<T, PlatformError>) -> Result<(), Effect> {
    result.map(drop).map_err(|e| e.effect())
}

/// Checks that the error of a failed call reports its effect correctly.
async fn check_faults(platform_under_test: &dyn PlatformUnderTest) {
    let (none, unknown) = (Err(Effect::None), Err(Effect::Unknown));
    // Fault, result of a write, whether it takes effect, whether reads succeed.
    let table = [
        (Fault::None, Ok(()), true, true),
        (Fault::Down, none, false, false),
        (Fault::Unreachable, none, false, false),
        (Fault::Slow, Ok(()), true, true),
        (Fault::Silent, unknown, false, false),
        (Fault::AnswerLost, unknown, true, true),
        (Fault::Cut, unknown, false, false),
        (Fault::Garbage, unknown, false, false),
    ];
    for (fault, answer, takes_effect, reads) in table {
        let key = format!("{fault:?}");
        let writes = [write(Table::Claim, &key, Expect::Absent, Some(1))];
        let failing = platform_under_test.with_fault(fault);
        assert_eq!(effect(failing.transact(&writes).await), answer, "{fault:?}");
        assert_eq!(failing.read(Table::Claim, "none").await.is_ok(), reads, "{fault:?}");
        assert_eq!(failing.changes(Table::Claim, 0).await.is_ok(), reads, "{fault:?}");
        assert_eq!(failing.instances().await.is_ok(), reads, "{fault:?}");
        let found =
            platform_under_test.with_fault(Fault::None).read(Table::Claim, &key).await.unwrap();
        assert_eq!(found.is_some(), takes_effect, "{fault:?}");
        let put =
            platform_under_test.with_fault(fault).put_object(&key, Bytes::from_static(b"x")).await;
        // The body of a response to an object write need not be read.
        if fault != Fault::Garbage {
            assert_eq!(effect(put), answer, "{fault:?}");
        }
        let kept = platform_under_test.with_fault(Fault::None).get_object(&key).await.unwrap();
        assert_eq!(kept.is_some(), takes_effect, "{fault:?}");
    }
}

// Transactions are atomic, and a conflict returns the first row whose expectation
// is not met.
async fn check_transactions(platform_under_test: &dyn PlatformUnderTest) {
    let platform = platform_under_test.with_fault(Fault::None);
    let (table, other) = (Table::Policy, Table::PolicyHistory);
    let first =
        [write(table, "t", Expect::Absent, Some(1)), write(other, "t/1", Expect::Absent, Some(1))];
    assert_eq!(platform.transact(&first).await.unwrap(), Commit::Done(vec![1, 1]));

    let conflicting =
        [write(other, "t/2", Expect::Absent, Some(2)), write(table, "t", Expect::Absent, Some(2))];
    let conflict = Commit::Conflict { index: 1, row: Some(row("t", 1, 1)) };
    assert_eq!(platform.transact(&conflicting).await.unwrap(), conflict);
    assert_eq!(
        platform.read(other, "t/2").await.unwrap(),
        None,
        "a rejected transaction must have no effect"
    );

    let next = [write(table, "t", Expect::Version(1), Some(2))];
    assert_eq!(platform.transact(&next).await.unwrap(), Commit::Done(vec![2]));
    let conflict = Commit::Conflict { index: 0, row: Some(row("t", 2, 2)) };
    assert_eq!(platform.transact(&next).await.unwrap(), conflict);

    let missing = [write(table, "u", Expect::Version(1), Some(2))];
    let conflict = Commit::Conflict { index: 0, row: None };
    assert_eq!(platform.transact(&missing).await.unwrap(), conflict);

    let delete = [write(table, "t", Expect::Version(2), None)];
    assert!(matches!(platform.transact(&delete).await.unwrap(), Commit::Done(_)));
    assert_eq!(platform.read(table, "t").await.unwrap(), None);
}

async fn check_changes(platform_under_test: &dyn PlatformUnderTest) {
    let platform = platform_under_test.with_fault(Fault::None);
    let table = Table::Policy;
    let before = platform.changes(table, 0).await.unwrap();
    for (key, expect, value) in
        [("a", Expect::Absent, 1), ("b", Expect::Absent, 2), ("a", Expect::Version(1), 3)]
    {
        let write = [write(table, key, expect, Some(value))];
        assert!(matches!(platform.transact(&write).await.unwrap(), Commit::Done(_)));
    }
    let changes = platform.changes(table, before.sequence).await.unwrap();
    assert_eq!(
        changes.rows,
        [row("b", 1, 2), row("a", 2, 3)],
        "latest version of each row, in order of change"
    );
    let page = platform.page(table, before.sequence, 1).await.unwrap();
    assert_eq!(page.rows, [row("b", 1, 2)], "first page");
    let after = platform.changes(table, changes.sequence).await.unwrap();
    assert_eq!((after.rows.len(), after.sequence), (0, changes.sequence));
}

async fn check_names(platform_under_test: &dyn PlatformUnderTest) {
    let platform = platform_under_test.with_fault(Fault::None);
    for key in ["a/b", "with space", "50%", "?since=3", "дом", ".."] {
        let insert = [write(Table::Claim, key, Expect::Absent, Some(7))];
        assert_eq!(platform.transact(&insert).await.unwrap(), Commit::Done(vec![1]), "{key}");
        assert_eq!(platform.read(Table::Claim, key).await.unwrap(), Some(row(key, 1, 7)), "{key}");
        let bytes = Bytes::copy_from_slice(key.as_bytes());
        platform.put_object(key, bytes.clone()).await.unwrap();
        assert_eq!(platform.get_object(key).await.unwrap(), Some(bytes), "{key}");
    }
    assert_eq!(platform.get_object("never put").await.unwrap(), None);
}

async fn check_all(platform_under_test: &dyn PlatformUnderTest) {
    check_faults(platform_under_test).await;
    check_transactions(platform_under_test).await;
    check_changes(platform_under_test).await;
    check_names(platform_under_test).await;
}

#[tokio::test]
async fn http_client_satisfies_the_contract() {
    check_all(&over_http().await).await;
}

#[tokio::test]
async fn fake_satisfies_the_contract() {
    check_all(&InMemory(FakePlatform::default().into())).await;
}

// A proxy may respond in place of the platform. An object that was not stored must
// not be reported as stored, nor a rejected read as a missing object.
#[tokio::test]
async fn responses_not_from_the_platform_are_errors() {
    let not_found =
        fixed_response_server(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await;
    let put = HttpPlatform::new(not_found, 300).put_object("a", Bytes::new()).await;
    assert_eq!(effect(put), Err(Effect::Unknown));
    let conflict =
        fixed_response_server(b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n").await;
    assert!(HttpPlatform::new(conflict, 300).get_object("a").await.is_err());
}
