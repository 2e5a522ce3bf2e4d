//! Dispatching the requests of one service, as one instance sees it.
//!
//! For each group of backend servers one instance, the dispatcher, counts slots
//! and holds the queue; [`Dispatch::place`] tells whether a request goes to a
//! slot here, to the dispatcher of another group, into the queue or nowhere.
//! Nothing that must be safe hangs on there being one dispatcher: while
//! instances disagree two may dispatch, and the refusals of the backend servers
//! lower the limits of both.
//!
//! ```
//! use azuregate_core::{
//!     names::{InstanceId, ServiceName, StartNumber, ZoneName},
//!     route::{
//!         SlotTable,
//!         dispatch::{DispatchRequest, Config, Dispatch, Grouping, Decision},
//!     },
//!     time::Millis,
//! };
//!
//! let mut dispatch = Dispatch::new(Config {
//!     service: ServiceName::new("starter-desk"),
//!     instance: InstanceId::new("entry-1"),
//!     zone: ZoneName::new("sofia-a"),
//!     start: StartNumber(1),
//!     grouping: Grouping::PerZone,
//!     make_router: Box::new(|| Box::new(SlotTable::default())),
//! });
//! // No server is listed yet.
//! let plan = [ZoneName::new("sofia-a")];
//! let request = DispatchRequest { ticket: 1, zones: &plan, max_wait_ms: 100, remaining_ms: 1_000, body_bytes: 0, idempotent: true };
//! let decision = dispatch.place(&request, Millis(0), &mut fastrand::Rng::with_seed(1));
//! assert!(matches!(decision, Decision::Refuse(_)));
//! ```

mod group_state;
mod place;
mod refusal;
mod release;
mod servers;
mod updates;

use std::{collections::HashMap, fmt, ops::Range};

use crate::{
    error::ErrorKind,
    names::{BackendId, InstanceId, ServiceName, StartNumber, ZoneName},
    route::{
        Router,
        group::{GroupId, GroupLoad},
        link::{RegionLinks, Reservation},
        peers::Peers,
        queue::{Queue, ServiceTime},
        remote_load::RemoteLoad,
    },
    snapshot::BackendServer,
    time::Millis,
};

pub use updates::LoadUpdate;

/// Which backend servers make a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grouping {
    /// Those of one availability zone, split when there are many; one instance
    /// dispatches for each.
    PerZone,
    /// All of the service; this instance chooses alone.
    WholeService,
}

/// What a dispatch is made from.
pub struct Config {
    /// The service.
    pub service: ServiceName,
    /// This instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its start number.
    pub start: StartNumber,
    /// How servers are grouped.
    pub grouping: Grouping,
    /// Makes the router of a group.
    pub make_router: Box<dyn Fn() -> Box<dyn Router> + Send>,
}

/// A request that wants a backend server.
#[derive(Clone, Copy, Debug)]
pub struct DispatchRequest<'a> {
    /// Names the request while it waits.
    pub ticket: u64,
    /// The availability zones that it may go to, the one to prefer first.
    pub zones: &'a [ZoneName],
    /// How long it may wait for a slot.
    pub max_wait_ms: u64,
    /// How long its caller waits for the answer.
    pub remaining_ms: u64,
    /// The length of its body, as far as it is known.
    pub body_bytes: u64,
    /// Whether it may be sent twice.
    pub idempotent: bool,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It goes to a backend server from here.
    Serve(Slot),
    /// It goes to the dispatcher of another group.
    HandOver(HandOver),
    /// It waits here for a slot of a group.
    Wait {
        /// The group, as an index.
        group: usize,
    },
    /// It gets its final answer at once.
    Refuse(Refusal),
}

/// A slot that a request holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Slot {
    /// The group, as an index.
    pub group: usize,
    /// The server, as a key of the group's router.
    pub key: usize,
    /// What it holds of a link between regions.
    pub reservation: Option<Reservation>,
    from: Option<usize>,
}

/// A request that goes to the dispatcher of another group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HandOver {
    /// The group, as an index.
    pub group: usize,
    /// The dispatcher, as an index.
    pub peer: usize,
    /// What it holds of a link between regions.
    pub reservation: Option<Reservation>,
}

/// Why a request goes nowhere. It did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The row of the table of answers.
    pub kind: ErrorKind,
    /// What happened.
    pub reason: &'static str,
    /// When a slot is likely to be free.
    pub retry_after_ms: u64,
}

/// Places the requests of one service.
pub struct Dispatch {
    config: Config,
    groups: Vec<Group>,
    by_id: HashMap<GroupId, usize>,
    /// Groups with open servers, those of one zone beside each other.
    available_groups: Vec<usize>,
    /// Which of them are a zone's.
    by_zone: HashMap<ZoneName, Range<usize>>,
    peers: Peers,
    links: RegionLinks,
    /// Live instances, this one included.
    live_instances: u32,
}

/// Who dispatches for a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Dispatcher {
    Local,
    Peer(usize),
}

struct Group {
    id: GroupId,
    router: Box<dyn Router>,
    servers: HashMap<BackendId, BackendServer>,
    /// Slots of the open servers, as listed.
    listed_slots: u32,
    /// There and back from here.
    round_trip_ms: u64,
    link: Option<usize>,
    /// Who dispatches, the first that answers.
    dispatchers: Vec<Dispatcher>,
    queue: Queue,
    service_time: ServiceTime,
    remote: RemoteLoad,
    remote_peer: Option<usize>,
    senders: Vec<Sender>,
}

/// An instance that hands over requests of a group.
#[derive(Debug)]
struct Sender {
    peer: usize,
    received: u64,
    in_flight: u32,
    last_request_at_ms: Millis,
    last_update: Option<(GroupLoad, Millis)>,
    last_frame_at_ms: Option<Millis>,
}

impl fmt::Debug for Dispatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ids: Vec<_> = self.groups.iter().map(|group| &group.id).collect();
        f.debug_struct("Dispatch").field("groups", &ids).finish_non_exhaustive()
    }
}

impl Dispatch {
    /// Makes a dispatch that knows no servers yet.
    pub fn new(config: Config) -> Dispatch {
        Dispatch {
            config,
            groups: Vec::new(),
            by_id: HashMap::new(),
            available_groups: Vec::new(),
            by_zone: HashMap::new(),
            peers: Peers::default(),
            links: RegionLinks::default(),
            live_instances: 1,
        }
    }

    /// How many groups there are; they are never taken away.
    pub fn group_count(&self) -> usize {
        self.groups.len()
    }

    /// The name of a group.
    pub fn group_id(&self, group: usize) -> &GroupId {
        &self.groups[group].id
    }

    /// The server of a slot that was just taken.
    pub fn server(&self, slot: &Slot) -> Option<&BackendServer> {
        let group = &self.groups[slot.group];
        group.servers.get(group.router.id(slot.key))
    }

    /// The name of the server of a slot, listed or not any more.
    pub fn server_id(&self, slot: &Slot) -> &BackendId {
        self.groups[slot.group].router.id(slot.key)
    }

    /// The dispatcher that a request is handed over to.
    pub fn dispatcher_id(&self, hand_over: &HandOver) -> &InstanceId {
        self.peers.id(hand_over.peer)
    }

    /// The name of another instance, by the index that [`Dispatch::tick`] gives.
    pub fn peer_id(&self, peer: usize) -> &InstanceId {
        self.peers.id(peer)
    }

    /// Takes in what a server said of its load.
    pub fn record_load(&mut self, slot: &Slot, report: crate::route::LoadReport) {
        self.groups[slot.group].router.record_load(slot.key, report);
    }

    /// Takes in how many bytes have passed over a link since the start.
    pub fn record_link_bytes(
        &mut self,
        link: usize,
        up_bytes: u64,
        down_bytes: u64,
        now_ms: Millis,
    ) {
        self.links.record_totals(link, up_bytes, down_bytes, now_ms);
    }
}
