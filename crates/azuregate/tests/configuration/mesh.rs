//! Tests of links between instances on loopback, without a platform.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use azuregate::{
    clock::{SharedClock, SystemClock},
    config::{Change, Config, Snapshots, Source},
    dispatch::LoadExchange,
    membership::{self, Members},
    peer::{Frame, Mesh, PeerLink, WsLink},
    timer::Timer,
};
use azuregate_core::{
    names::{InstanceId, StartNumber},
    route::hash,
    snapshot::{Instance, Liveness, Readiness, Snapshot},
};
use tokio::{net::TcpListener, task::JoinHandle, time};

use crate::world::{empty_snapshot, instance, list, policy, server};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// An instance that runs only its peer links.
struct Node {
    config: Config,
    snapshots: Snapshots,
    members: Members,
    mesh: JoinHandle<()>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.mesh.abort();
    }
}

/// Returns a loopback address that depends on the process ID, so that concurrent test
/// runs do not compete for ports.
fn ip(test: u8, last: u8) -> IpAddr {
    let [.., run_high, run_low] =
        hash::stable_hash(&[&std::process::id().to_string()]).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 192 + run_high % 48, (run_low & 0xf0) | test, last))
}

async fn start_node(of: &Instance) -> Node {
    let clock: SharedClock = Arc::new(SystemClock::new());
    let timer = Timer::start();
    let (config, snapshots) = Config::start_with_clock(empty_snapshot(), Arc::clone(&clock));
    let members = Members::start(membership::Parts {
        instance: of.id.clone(),
        config: config.clone(),
        snapshots: snapshots.clone(),
        clock: Arc::clone(&clock),
        timer: timer.clone(),
    });
    let mesh = Mesh {
        instance: of.id.clone(),
        start: StartNumber(1),
        ip: of.ip,
        config: config.clone(),
        snapshots: snapshots.clone(),
        members: members.clone(),
        clock,
        exchange: LoadExchange::default(),
        timer,
    };
    let listener = TcpListener::bind(of.peer_addr()).await.unwrap();
    Node { config, snapshots, members, mesh: tokio::spawn(mesh.serve(listener)) }
}

/// Starts an instance with the list `listed` and version 5 of the policy in force.
async fn start_configured(of: &Instance, listed: &[Instance]) -> Node {
    let node = start_node(of).await;
    node.config.change(Change::List(list(listed)));
    node.config.change(Change::Policy(Box::new(policy(5)), Source::Platform));
    node.config.change(Change::Confirmed);
    node.members.platform_read();
    node
}

async fn wait_until(what: &str, node: &Node, holds: impl Fn(&Snapshot) -> bool) {
    let start = Instant::now();
    while !holds(&node.snapshots.current()) {
        assert!(start.elapsed() < TEST_TIMEOUT, "timed out waiting for {what}");
        time::sleep(Duration::from_millis(20)).await;
    }
}

fn version(snapshot: &Snapshot) -> u64 {
    snapshot.policies.get("desk").map_or(0, |policy| policy.version)
}

fn is_leaving(snapshot: &Snapshot, of: &Instance) -> bool {
    let found = snapshot.instances.iter().find(|instance| instance.id == of.id);
    found.is_some_and(|instance| instance.liveness == Liveness::Leaving)
}

// An instance without a list cannot dial its neighbours, so they must dial it although
// its name sorts first. It then gets the list and the policy, and becomes ready when
// two peers agree.
#[tokio::test]
async fn an_instance_starts_while_the_platform_is_down() {
    let all = ["a", "b", "c"].map(|name| instance(name, ip(1, name.as_bytes()[0])));
    let [a, b, c] = &all;
    let starting = start_node(a).await;
    starting.members.platform_read_failed();
    let (_b, _c) = (start_configured(b, &all).await, start_configured(c, &all).await);
    wait_until("readiness by peers", &starting, |s| s.readiness == Readiness::Peers(2)).await;
    let snapshot = starting.snapshots.current();
    assert_eq!((version(&snapshot), snapshot.listed.len()), (5, 3));
}

// A policy, a leaving server and a stopping instance must reach the other instances.
#[tokio::test]
async fn changes_reach_the_neighbours() {
    let all = ["a", "b", "c"].map(|name| instance(name, ip(2, name.as_bytes()[0])));
    let [a, b, c] = &all;
    let (first, second, _third) = (
        start_configured(a, &all).await,
        start_configured(b, &all).await,
        start_configured(c, &all).await,
    );
    first.config.change(Change::Policy(Box::new(policy(6)), Source::Platform));
    first.config.change(Change::Leaving(server(0).id, StartNumber(1), Source::Backend));
    first.config.change(Change::Stopping(a.id.clone(), StartNumber(1)));
    wait_until("the policy", &second, |s| version(s) == 6).await;
    wait_until("the leaving server", &second, |s| s.leaving.len() == 1).await;
    wait_until("the stop", &second, |s| is_leaving(s, a)).await;
    assert!(!is_leaving(&second.snapshots.current(), c));
}

// An instance that disappears without a message must get no new work, without any
// change of the platform's list, until it is back.
#[tokio::test]
async fn a_silent_instance_is_away_until_it_is_back() {
    let all = ["a", "b", "c"].map(|name| instance(name, ip(3, name.as_bytes()[0])));
    let [a, b, c] = &all;
    let (first, _second) = (start_configured(a, &all).await, start_configured(b, &all).await);
    let third = start_configured(c, &all).await;
    time::sleep(Duration::from_millis(1_500)).await;
    assert!(!is_leaving(&first.snapshots.current(), c));
    drop(third);
    wait_until("the instance to be away", &first, |s| is_leaving(s, c)).await;
    let _third = start_configured(c, &all).await;
    wait_until("the instance to be back", &first, |s| !is_leaving(s, c)).await;
}

// A process that is not listed, uses the name of another instance or sends no hello
// must not change the policy in force; its link is closed.
#[tokio::test]
async fn policies_from_unidentified_peers_are_rejected() {
    let all = ["a", "b"].map(|name| instance(name, ip(4, name.as_bytes()[0])));
    let node = start_configured(&all[0], &all).await;
    let hello = |name| Frame::Hello {
        instance: InstanceId::new(name),
        start: StartNumber(1),
        has_list: true,
    };
    let offer = Frame::Policy(Box::new(policy(9)));
    let cases = [
        ("not listed", ip(4, 9), vec![hello("z"), offer.clone()]),
        ("name of another instance", ip(4, 9), vec![hello("b"), offer.clone()]),
        ("no hello frame", all[1].ip, vec![offer.clone()]),
    ];
    for (case, from, frames) in cases {
        let mut link = WsLink::dial(from, all[0].peer_addr()).await.unwrap();
        for frame in frames {
            let _ = link.send(&frame).await;
        }
        let closing = async { while let Ok(Some(_)) = link.recv().await {} };
        assert!(
            time::timeout(TEST_TIMEOUT, closing).await.is_ok(),
            "{case}: the link was not closed"
        );
        assert_eq!(version(&node.snapshots.current()), 5, "{case}");
    }
}

// A link to a neighbour that hangs, or whose connection was lost silently, must be
// closed and dialled again.
#[tokio::test]
async fn a_silent_link_is_dialled_again() {
    let all = ["a", "b"].map(|name| instance(name, ip(5, name.as_bytes()[0])));
    let addr: SocketAddr = all[1].peer_addr();
    let listener = TcpListener::bind(addr).await.unwrap();
    let _node = start_configured(&all[0], &all).await;
    let mut links = Vec::new();
    for _ in 0..2 {
        let accepted = time::timeout(TEST_TIMEOUT, listener.accept()).await;
        let (stream, _) = accepted.expect("the link is dialled again").unwrap();
        links.push(WsLink::accept(stream).await.unwrap());
    }
}
