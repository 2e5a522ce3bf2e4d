//! Tests of probing backend servers and of closing their pooled connections.

use std::{
    collections::HashSet,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use azuregate::{
    backend::{BackendConn, BackendDialer, Pool, SendError},
    body::{self, Body},
    config::{Change, Config, Snapshots, Source},
    probe::{self, Prober},
    timer::Timer,
};
use azuregate_core::{
    names::{InstanceId, StartNumber},
    snapshot::{BackendServer, InstanceList},
};
use hyper::{Request, Response, StatusCode};
use tokio::time;

use crate::world::{JumpClock, instance, ready, run_pending_tasks, server};

/// How a backend server fails.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Fault {
    /// It refuses connections.
    ConnectionRefused,
    /// It accepts connections and never answers.
    NoResponse,
    /// It answers with 503, which counts as reachable.
    Overloaded,
}

/// Dials fake servers, some of which fail.
#[derive(Clone, Default)]
struct FakeDialer {
    faults: Arc<Mutex<HashSet<(u16, Fault)>>>,
}

struct FakeConn {
    dialer: FakeDialer,
    port: u16,
}

impl FakeDialer {
    fn has_fault(&self, port: u16, fault: Fault) -> bool {
        self.faults.lock().unwrap().contains(&(port, fault))
    }
}

#[async_trait]
impl BackendDialer for FakeDialer {
    async fn dial(&self, addr: SocketAddr) -> io::Result<Box<dyn BackendConn>> {
        if self.has_fault(addr.port(), Fault::ConnectionRefused) {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        Ok(Box::new(FakeConn { dialer: self.clone(), port: addr.port() }))
    }
}

#[async_trait]
impl BackendConn for FakeConn {
    async fn send(&mut self, _request: Request<Body>) -> Result<Response<Body>, SendError> {
        if self.dialer.has_fault(self.port, Fault::NoResponse) {
            return std::future::pending().await;
        }
        let mut response = Response::new(body::empty());
        if self.dialer.has_fault(self.port, Fault::Overloaded) {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        Ok(response)
    }

    fn is_idle(&self) -> bool {
        true
    }
}

/// Starts a configuration with four servers, on ports from 1, and one instance, which
/// probes all of them.
fn start_with_servers(clock: &Arc<JumpClock>) -> (Config, Snapshots) {
    let backends = (0..4).map(|index| BackendServer {
        addr: SocketAddr::new([127, 0, 0, 1].into(), index + 1),
        ..server(index)
    });
    let instances = vec![instance("entry-0", [127, 0, 0, 1].into())];
    ready(clock, InstanceList { instances, backends: backends.collect() })
}

fn unreachable(snapshots: &Snapshots) -> Vec<String> {
    snapshots.current().unreachable.iter().map(ToString::to_string).collect()
}

// Servers that do not answer probes must be marked as unreachable, and be reachable
// again, with the same start number, when they answer.
#[tokio::test(start_paused = true)]
async fn failing_servers_are_unreachable_until_they_answer() {
    let [first, second, third] = [1, 2, 3].map(|port| (port, Fault::ConnectionRefused));
    let cases = [
        ("no fault", vec![], vec![]),
        ("connection refused", vec![first], vec!["desk-0"]),
        ("no response", vec![(2, Fault::NoResponse)], vec!["desk-1"]),
        ("overloaded", vec![(3, Fault::Overloaded)], vec![]),
        (
            "most servers fail, so the prober is assumed to be at fault",
            vec![first, second, third],
            vec![],
        ),
    ];
    for (case, faults, expected) in cases {
        let (config, snapshots) = start_with_servers(&JumpClock::start());
        run_pending_tasks().await;
        let dialer = FakeDialer::default();
        let prober = Prober {
            instance: InstanceId::new("entry-0"),
            start: StartNumber(1),
            dialer: Arc::new(dialer.clone()),
            config,
            snapshots: snapshots.clone(),
            timer: Timer::start(),
        };
        tokio::spawn(prober.serve());
        dialer.faults.lock().unwrap().extend(faults);
        time::sleep(Duration::from_secs(6)).await;
        assert_eq!(unreachable(&snapshots), expected, "{case}");
        dialer.faults.lock().unwrap().clear();
        time::sleep(Duration::from_secs(3)).await;
        assert!(unreachable(&snapshots).is_empty(), "{case}: not reachable again");
    }
}

// A pooled connection to a leaving server would carry the next request to it.
#[tokio::test(start_paused = true)]
async fn pooled_connections_to_a_leaving_server_are_closed() {
    let clock = JumpClock::start();
    let (config, snapshots) = start_with_servers(&clock);
    run_pending_tasks().await;
    let pool = Pool::start(Arc::clone(&clock) as _);
    tokio::spawn(probe::close_idle(pool.clone(), snapshots.clone()));
    let addrs: Vec<_> = (1..=2).map(|port| SocketAddr::new([127, 0, 0, 1].into(), port)).collect();
    for &addr in &addrs {
        let conn = FakeConn { dialer: FakeDialer::default(), port: addr.port() };
        pool.put(addr, Box::new(conn));
    }
    config.change(Change::Leaving(server(0).id, StartNumber(1), Source::Peer));
    run_pending_tasks().await;
    assert!(pool.take(addrs[0]).await.is_none(), "leaving server");
    assert!(pool.take(addrs[1]).await.is_some(), "other server");
}
