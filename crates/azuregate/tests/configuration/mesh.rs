//! Links between instances on loopback, without a platform.

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

use crate::world::{first, instance, list, policy, server};

/// How long anything may take before a test gives up.
const PATIENCE: Duration = Duration::from_secs(20);

/// An instance with nothing but its peer links.
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

/// IP numbers of one test of one run: another run of the same tests on this
/// machine would otherwise hold the ports.
fn ip(test: u8, last: u8) -> IpAddr {
    let [.., run_high, run_low] =
        hash::stable_hash(&[&std::process::id().to_string()]).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 192 + run_high % 48, (run_low & 0xf0) | test, last))
}

async fn node(of: &Instance) -> Node {
    let clock: SharedClock = Arc::new(SystemClock::new());
    let timer = Timer::start();
    let (config, snapshots) = Config::start_with_clock(first(), Arc::clone(&clock));
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

/// An instance that the platform told of `listed` and of version 5.
async fn told(of: &Instance, listed: &[Instance]) -> Node {
    let node = node(of).await;
    node.config.change(Change::List(list(listed)));
    node.config.change(Change::Policy(Box::new(policy(5)), Source::Platform));
    node.config.change(Change::Confirmed);
    node.members.platform_read();
    node
}

async fn until(what: &str, node: &Node, holds: impl Fn(&Snapshot) -> bool) {
    let start = Instant::now();
    while !holds(&node.snapshots.current()) {
        assert!(start.elapsed() < PATIENCE, "never: {what}");
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

// An instance starts while the platform is down: it has no list, so it can dial
// nobody, and the others leave dialling to it, since its name comes first. They
// dial in the end. It gets the list and the policy, and serves once two agree.
#[tokio::test]
async fn an_instance_starts_while_the_platform_is_down() {
    let all = ["a", "b", "c"].map(|name| instance(name, ip(1, name.as_bytes()[0])));
    let [a, b, c] = &all;
    let late = node(a).await;
    late.members.platform_failed();
    let (_b, _c) = (told(b, &all).await, told(c, &all).await);
    until("ready by its peers", &late, |s| s.readiness == Readiness::Peers(2)).await;
    let snapshot = late.snapshots.current();
    assert_eq!((version(&snapshot), snapshot.listed.len()), (5, 3));
}

// One instance takes in a change, a leaving server and the update that another
// stops. All reach an instance that it has a link to; a later start of the
// stopped one would count anew.
#[tokio::test]
async fn changes_reach_the_neighbours() {
    let all = ["a", "b", "c"].map(|name| instance(name, ip(2, name.as_bytes()[0])));
    let [a, b, c] = &all;
    let (first, second, _third) = (told(a, &all).await, told(b, &all).await, told(c, &all).await);
    first.config.change(Change::Policy(Box::new(policy(6)), Source::Platform));
    first.config.change(Change::Leaving(server(0).id, StartNumber(1), Source::Backend));
    first.config.change(Change::Stopping(a.id.clone(), StartNumber(1)));
    until("the change", &second, |s| version(s) == 6).await;
    until("the leaving server", &second, |s| s.leaving.len() == 1).await;
    until("the stop", &second, |s| is_leaving(s, a)).await;
    assert!(!is_leaving(&second.snapshots.current(), c));
}

// One of three is gone without a message. The others stop naming it, long before
// any list says so, and name it again when it is back.
#[tokio::test]
async fn a_silent_instance_is_away_until_it_is_back() {
    let all = ["a", "b", "c"].map(|name| instance(name, ip(3, name.as_bytes()[0])));
    let [a, b, c] = &all;
    let (first, _second) = (told(a, &all).await, told(b, &all).await);
    let third = told(c, &all).await;
    time::sleep(Duration::from_millis(1_500)).await;
    assert!(!is_leaving(&first.snapshots.current(), c));
    drop(third);
    until("away", &first, |s| is_leaving(s, c)).await;
    let _third = told(c, &all).await;
    until("back", &first, |s| !is_leaving(s, c)).await;
}

// Some process reaches the port of the peers and offers a policy. It is not
// listed, or claims another's name, or does not greet: its link is closed, and
// the policy in force stays.
#[tokio::test]
async fn strangers_are_not_taken_in() {
    let all = ["a", "b"].map(|name| instance(name, ip(4, name.as_bytes()[0])));
    let node = told(&all[0], &all).await;
    let hello = |name| Frame::Hello {
        instance: InstanceId::new(name),
        start: StartNumber(1),
        has_list: true,
    };
    let offer = Frame::Policy(Box::new(policy(9)));
    let cases = [
        ("not listed", ip(4, 9), vec![hello("z"), offer.clone()]),
        ("another's name", ip(4, 9), vec![hello("b"), offer.clone()]),
        ("no greeting", all[1].ip, vec![offer.clone()]),
    ];
    for (case, from, frames) in cases {
        let mut link = WsLink::dial(from, all[0].peer_addr()).await.unwrap();
        for frame in frames {
            let _ = link.send(&frame).await;
        }
        let closing = async { while let Ok(Some(_)) = link.recv().await {} };
        assert!(time::timeout(PATIENCE, closing).await.is_ok(), "{case}: the link stays");
        assert_eq!(version(&node.snapshots.current()), 5, "{case}");
    }
}

// A neighbour takes a link and then neither reads nor says anything: it is
// frozen, or something on the way has lost the connection. The link is given up
// and dialled anew.
#[tokio::test]
async fn a_link_that_goes_silent_is_dialled_anew() {
    let all = ["a", "b"].map(|name| instance(name, ip(5, name.as_bytes()[0])));
    let addr: SocketAddr = all[1].peer_addr();
    let listener = TcpListener::bind(addr).await.unwrap();
    let _node = told(&all[0], &all).await;
    let mut taken = Vec::new();
    for _ in 0..2 {
        let accepted = time::timeout(PATIENCE, listener.accept()).await;
        let (stream, _) = accepted.expect("the link is dialled anew").unwrap();
        taken.push(WsLink::accept(stream).await.unwrap());
    }
}
