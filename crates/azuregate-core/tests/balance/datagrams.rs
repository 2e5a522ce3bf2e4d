//! Encoding of datagrams.

use azuregate_core::{
    balance::{BackendRun, CrashReport, Datagram, Heartbeat, LeavingReport, Load, RateLimitReport},
    names::StartNumber,
};
use serde::Deserialize;

fn heartbeat() -> Heartbeat {
    Heartbeat {
        instance: "entry-zone-a-12".to_owned(),
        start: StartNumber(1_768_235_706_000),
        is_leaving: true,
        operator_version: 70_000,
        backends_version: 80_000,
        had_store_ms: 90_000,
        can_watch: false,
        requested: vec![u32::MAX; 4],
    }
}

fn encoded(datagram: &Datagram) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(datagram, &mut bytes).unwrap();
    bytes
}

#[test]
fn datagrams_round_trip() {
    let cases = [
        Datagram::Heartbeat(heartbeat()),
        Datagram::Heartbeat(Heartbeat::default()),
        Datagram::Load(Load("entry-1".to_owned(), vec![(1, 2), (u32::MAX, 3)])),
        Datagram::RateLimits(RateLimitReport(vec![
            (BackendRun(1), Some(3.1), 20, 10),
            (BackendRun(u64::MAX), None, 0, 0),
        ])),
        Datagram::GrantRequest(7, BackendRun(2)),
        Datagram::Grant(7, true),
        Datagram::Leaving(LeavingReport(vec![BackendRun(1), BackendRun(u64::MAX)])),
    ];
    for datagram in cases {
        let read: Datagram = ciborium::from_reader(encoded(&datagram).as_slice()).unwrap();
        assert_eq!(read, datagram);
    }
}

/// Guards against a version that cannot read the datagrams of the one before it, or that breaks
/// when the next one sends others.
#[test]
fn versions_without_rate_limits_read_the_other_datagrams() {
    #[derive(Debug, Deserialize, PartialEq)]
    enum Older {
        Heartbeat(Heartbeat),
        Load(Load),
        Crashes(CrashReport),
    }
    let read = |datagram| ciborium::from_reader::<Older, _>(encoded(&datagram).as_slice());
    let load = Load("entry-1".to_owned(), vec![(1, 2)]);
    assert_eq!(read(Datagram::Heartbeat(heartbeat())).unwrap(), Older::Heartbeat(heartbeat()));
    assert_eq!(read(Datagram::Load(load.clone())).unwrap(), Older::Load(load));
    let crashes = CrashReport::default();
    assert_eq!(read(Datagram::Crashes(crashes.clone())).unwrap(), Older::Crashes(crashes));
    for newer in [
        Datagram::RateLimits(RateLimitReport::default()),
        Datagram::GrantRequest(7, BackendRun(2)),
        Datagram::Grant(7, true),
    ] {
        assert!(read(newer.clone()).is_err(), "{newer:?}");
    }
}

/// Heartbeats are most of the traffic between dozens of instances. The limit includes the
/// IP and UDP headers, and leaves out the sample of objects, which few heartbeats carry.
#[test]
fn heartbeat_fits_in_100_bytes() {
    const HEADERS_BYTES: usize = 28;
    let heartbeat = Heartbeat { requested: Vec::new(), ..heartbeat() };
    let bytes = encoded(&Datagram::Heartbeat(heartbeat)).len();
    assert!(bytes + HEADERS_BYTES <= 100, "{bytes}");
}
