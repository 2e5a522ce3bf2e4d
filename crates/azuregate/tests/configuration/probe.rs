//! Probing backend servers, and what becomes of connections to them.

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

use crate::world::{JumpClock, instance, ready, server, settle};

/// How a backend server takes a probe.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Trouble {
    /// No connection.
    Gone,
    /// It takes connections and never answers.
    Silent,
    /// It refuses, which is an answer.
    Sheds,
}

/// Dials servers, some of which are in trouble.
#[derive(Clone, Default)]
struct Dialer {
    troubles: Arc<Mutex<HashSet<(u16, Trouble)>>>,
}

struct Conn {
    dialer: Dialer,
    port: u16,
}

impl Dialer {
    fn has(&self, port: u16, trouble: Trouble) -> bool {
        self.troubles.lock().unwrap().contains(&(port, trouble))
    }
}

#[async_trait]
impl BackendDialer for Dialer {
    async fn dial(&self, addr: SocketAddr) -> io::Result<Box<dyn BackendConn>> {
        if self.has(addr.port(), Trouble::Gone) {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        Ok(Box::new(Conn { dialer: self.clone(), port: addr.port() }))
    }
}

#[async_trait]
impl BackendConn for Conn {
    async fn send(&mut self, _request: Request<Body>) -> Result<Response<Body>, SendError> {
        if self.dialer.has(self.port, Trouble::Silent) {
            return std::future::pending().await;
        }
        let mut response = Response::new(body::empty());
        if self.dialer.has(self.port, Trouble::Sheds) {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        Ok(response)
    }

    fn is_idle(&self) -> bool {
        true
    }
}

/// Four servers with ports from 1, and one instance, which watches all of them.
fn world(clock: &Arc<JumpClock>) -> (Config, Snapshots) {
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

// Servers get into trouble for some seconds. They are out of service while they do
// not answer, and are back with the same start number.
#[tokio::test(start_paused = true)]
async fn servers_that_do_not_answer_get_no_work_until_they_do() {
    let [first, second, third] = [1, 2, 3].map(|port| (port, Trouble::Gone));
    let cases = [
        ("all answer", vec![], vec![]),
        ("gone", vec![first], vec!["desk-0"]),
        ("silent", vec![(2, Trouble::Silent)], vec!["desk-1"]),
        ("sheds", vec![(3, Trouble::Sheds)], vec![]),
        ("the watcher is cut off", vec![first, second, third], vec![]),
    ];
    for (case, troubles, expected) in cases {
        let (config, snapshots) = world(&JumpClock::start());
        settle().await;
        let dialer = Dialer::default();
        let prober = Prober {
            instance: InstanceId::new("entry-0"),
            start: StartNumber(1),
            dialer: Arc::new(dialer.clone()),
            config,
            snapshots: snapshots.clone(),
            timer: Timer::start(),
        };
        tokio::spawn(prober.serve());
        dialer.troubles.lock().unwrap().extend(troubles);
        time::sleep(Duration::from_secs(6)).await;
        assert_eq!(unreachable(&snapshots), expected, "{case}");
        dialer.troubles.lock().unwrap().clear();
        time::sleep(Duration::from_secs(3)).await;
        assert!(unreachable(&snapshots).is_empty(), "{case}: they answer again");
    }
}

// A server leaves by whatever sign. A connection to it that was kept for the next
// request would carry that request there.
#[tokio::test(start_paused = true)]
async fn kept_connections_to_a_leaving_server_are_closed() {
    let clock = JumpClock::start();
    let (config, snapshots) = world(&clock);
    settle().await;
    let pool = Pool::start(Arc::clone(&clock) as _);
    tokio::spawn(probe::close_idle(pool.clone(), snapshots.clone()));
    let addrs: Vec<_> = (1..=2).map(|port| SocketAddr::new([127, 0, 0, 1].into(), port)).collect();
    for &addr in &addrs {
        let conn = Conn { dialer: Dialer::default(), port: addr.port() };
        pool.put(addr, Box::new(conn));
    }
    config.change(Change::Leaving(server(0).id, StartNumber(1), Source::Peer));
    settle().await;
    assert!(pool.take(addrs[0]).await.is_none(), "it is leaving");
    assert!(pool.take(addrs[1]).await.is_some(), "it is not");
}
