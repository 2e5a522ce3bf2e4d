//! Encoding of datagrams.

use azuregate_core::{
    balance::{Datagram, Heartbeat, Load},
    names::StartNumber,
};

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
    ];
    for datagram in cases {
        let read: Datagram = ciborium::from_reader(encoded(&datagram).as_slice()).unwrap();
        assert_eq!(read, datagram);
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
