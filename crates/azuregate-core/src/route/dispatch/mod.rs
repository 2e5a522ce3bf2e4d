//! Dispatching the requests of one service on one instance.
//!
//! For each group of backend servers one instance, the dispatcher, counts slots
//! and holds the queue. [`Dispatch::place`] decides whether a request takes a
//! slot here, is handed over to the dispatcher of another group, is queued or is
//! refused.
//!
//! Safety does not depend on there being a single dispatcher. While instances
//! disagree, two may dispatch for one group; the refusals of the backend servers
//! then lower the limits of both.
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
//! // No server is listed yet, so the request is refused.
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

/// How backend servers are grouped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grouping {
    /// One group per availability zone, or several for a large one; each group
    /// has one dispatcher instance.
    PerZone,
    /// One group for the whole service; every instance dispatches independently.
    WholeService,
}

/// The configuration of a [`Dispatch`].
pub struct Config {
    /// The service.
    pub service: ServiceName,
    /// This instance.
    pub instance: InstanceId,
    /// The availability zone of this instance.
    pub zone: ZoneName,
    /// The start number of this instance.
    pub start: StartNumber,
    /// The grouping of the backend servers.
    pub grouping: Grouping,
    /// Creates the router of a group.
    pub make_router: Box<dyn Fn() -> Box<dyn Router> + Send>,
}

/// A request to be placed.
#[derive(Clone, Copy, Debug)]
pub struct DispatchRequest<'a> {
    /// Identifies the request while it is queued.
    pub ticket: u64,
    /// The availability zones that it may be placed in, in order of preference.
    pub zones: &'a [ZoneName],
    /// Maximum time to wait for a slot, in milliseconds.
    pub max_wait_ms: u64,
    /// Time until its deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Length of its body in bytes, as far as it is known.
    pub body_bytes: u64,
    /// Whether it may be sent more than once.
    pub idempotent: bool,
}

/// Where a request is placed, if anywhere.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send the request to a backend server.
    Serve(Slot),
    /// Hand the request over to another dispatcher.
    HandOver(HandOver),
    /// The request is queued for a slot of a group.
    Wait {
        /// The index of the group.
        group: usize,
    },
    /// Refuse the request.
    Refuse(Refusal),
}

/// A slot that a request holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Slot {
    /// The index of the group.
    pub group: usize,
    /// The key of the server in the group's router.
    pub key: usize,
    /// The bandwidth reserved on a link between regions, if it crosses one.
    pub reservation: Option<Reservation>,
    from: Option<usize>,
}

/// The hand-over of a request to another dispatcher.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HandOver {
    /// The index of the group.
    pub group: usize,
    /// The index of the dispatcher.
    pub peer: usize,
    /// The bandwidth reserved on a link between regions, if it crosses one.
    pub reservation: Option<Reservation>,
}

/// Why a request was refused. It was not sent to any backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The error kind of the response.
    pub kind: ErrorKind,
    /// The reason, for people.
    pub reason: &'static str,
    /// Time after which a retry is likely to succeed, in milliseconds.
    pub retry_after_ms: u64,
}

/// Places the requests of one service on one instance.
pub struct Dispatch {
    config: Config,
    groups: Vec<Group>,
    by_id: HashMap<GroupId, usize>,
    /// Indexes of the groups with available servers, ordered by zone.
    available_groups: Vec<usize>,
    /// The range of each zone in `available_groups`.
    by_zone: HashMap<ZoneName, Range<usize>>,
    peers: Peers,
    links: RegionLinks,
    /// Number of live instances, including this one.
    live_instances: u32,
}

/// An instance that dispatches for a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Dispatcher {
    Local,
    Peer(usize),
}

struct Group {
    id: GroupId,
    router: Box<dyn Router>,
    servers: HashMap<BackendId, BackendServer>,
    /// Slots of the available servers, as listed.
    listed_slots: u32,
    round_trip_ms: u64,
    link: Option<usize>,
    /// Dispatchers in order of preference.
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
    /// Creates a dispatch without servers.
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

    /// Returns the number of groups; groups are never removed.
    pub fn group_count(&self) -> usize {
        self.groups.len()
    }

    /// Returns the name of a group.
    pub fn group_id(&self, group: usize) -> &GroupId {
        &self.groups[group].id
    }

    /// Returns the server of a slot, or `None` if it is no longer listed.
    pub fn server(&self, slot: &Slot) -> Option<&BackendServer> {
        let group = &self.groups[slot.group];
        group.servers.get(group.router.id(slot.key))
    }

    /// Returns the name of the server of a slot, whether it is still listed or
    /// not.
    pub fn server_id(&self, slot: &Slot) -> &BackendId {
        self.groups[slot.group].router.id(slot.key)
    }

    /// Returns the dispatcher that a request is handed over to.
    pub fn dispatcher_id(&self, hand_over: &HandOver) -> &InstanceId {
        self.peers.id(hand_over.peer)
    }

    /// Returns the name of a peer, by the index that [`Dispatch::tick`] returns.
    pub fn peer_id(&self, peer: usize) -> &InstanceId {
        self.peers.id(peer)
    }

    /// Records the load that a server reported.
    pub fn record_load(&mut self, slot: &Slot, report: crate::route::LoadReport) {
        self.groups[slot.group].router.record_load(slot.key, report);
    }

    /// Records the total bytes sent and received on a link since the start.
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
