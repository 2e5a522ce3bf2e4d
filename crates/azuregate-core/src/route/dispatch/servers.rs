//! Applies the lists of instances and backend servers.

use std::collections::{BTreeMap, HashMap};

use crate::{
    names::ZoneName,
    route::{
        Locality, ServerStatus,
        dispatch::{Dispatch, Dispatcher, Group, Grouping, Refusal},
        group::{self, GroupId},
        queue::{Queue, QueuedRequest, ServiceTime},
        remote_load::RemoteLoad,
    },
    snapshot::{Instance, Liveness, Snapshot},
};

impl Dispatch {
    /// Applies the configuration in force.
    ///
    /// Returns the queued requests of groups that have no available server left,
    /// with their refusals.
    pub fn set_snapshot(&mut self, snapshot: &Snapshot) -> Vec<(QueuedRequest, Refusal)> {
        let zone = &self.config.zone;
        if let Some(region) = snapshot.topology.region_of(zone) {
            self.links.update(&snapshot.topology, region, &snapshot.instances);
        }
        let mut instances: Vec<_> = snapshot
            .instances
            .iter()
            .filter(|instance| instance.liveness == Liveness::Live)
            .collect();
        let others =
            instances.iter().filter(|instance| instance.id != self.config.instance).count();
        self.live_instances = 1 + others as u32;
        let mut by_group = self.servers_by_group(snapshot);
        // Groups that are no longer listed are kept without servers, for the
        // requests that are still in progress.
        for group in &self.groups {
            by_group.entry(group.id.clone()).or_default();
        }
        self.available_groups.clear();
        self.by_zone.clear();
        let mut refused = Vec::new();
        for (id, servers) in by_group {
            let index = self.group_index(&id);
            self.set_group(index, snapshot, &mut instances, &servers);
            refused.extend(self.refuse_if_unavailable(index));
        }
        refused
    }

    fn servers_by_group(&self, snapshot: &Snapshot) -> BTreeMap<GroupId, Vec<ServerStatus>> {
        let servers = snapshot.route_servers(&self.config.service);
        let mut by_group: BTreeMap<GroupId, Vec<ServerStatus>> = BTreeMap::new();
        if self.config.grouping == Grouping::WholeService {
            by_group.insert(GroupId { zone: self.config.zone.clone(), part: 0 }, servers);
            return by_group;
        }
        let mut count_by_zone: HashMap<ZoneName, usize> = HashMap::new();
        for ServerStatus { server, .. } in &servers {
            *count_by_zone.entry(server.zone.clone()).or_default() += 1;
        }
        for server in servers {
            let zone = server.server.zone.clone();
            let partitions = group::partition_count(count_by_zone[&zone]);
            let part = group::partition_of(&server.server.id, partitions);
            by_group.entry(GroupId { zone, part }).or_default().push(server);
        }
        by_group
    }

    fn group_index(&mut self, id: &GroupId) -> usize {
        if let Some(&index) = self.by_id.get(id) {
            return index;
        }
        self.groups.push(Group {
            id: id.clone(),
            router: (self.config.make_router)(),
            servers: HashMap::new(),
            listed_slots: 0,
            round_trip_ms: 0,
            link: None,
            dispatchers: Vec::new(),
            queue: Queue::default(),
            service_time: ServiceTime::default(),
            remote: RemoteLoad::default(),
            remote_peer: None,
            senders: Vec::new(),
        });
        self.by_id.insert(id.clone(), self.groups.len() - 1);
        self.groups.len() - 1
    }

    fn set_group(
        &mut self,
        index: usize,
        snapshot: &Snapshot,
        instances: &mut [&Instance],
        servers: &[ServerStatus],
    ) {
        let dispatchers = self.dispatcher_order(index, snapshot, instances);
        let local_zone = &self.config.zone;
        let group = &mut self.groups[index];
        let topology = &snapshot.topology;
        group.router.set_servers(Locality { topology, zone: local_zone }, servers);
        group.servers = servers.iter().map(|s| (s.server.id.clone(), s.server.clone())).collect();
        group.listed_slots = servers.iter().filter(|s| s.available).map(|s| s.server.slots).sum();
        group.round_trip_ms = 2 * topology.delay_ms(topology.distance(local_zone, &group.id.zone));
        let region = topology.region_of(&group.id.zone);
        group.link = region.and_then(|region| self.links.link_to(region));
        group.dispatchers = dispatchers;
        if group.listed_slots > 0 {
            // Groups are ordered by name, so those of one zone are adjacent.
            let nth = self.available_groups.len();
            self.available_groups.push(index);
            let range = self.by_zone.entry(group.id.zone.clone()).or_insert(nth..nth);
            range.end = nth + 1;
        }
    }

    /// Returns the dispatchers of a group in order of preference. This instance
    /// is always included, as the fallback if it can reach no other.
    fn dispatcher_order(
        &mut self,
        index: usize,
        snapshot: &Snapshot,
        instances: &mut [&Instance],
    ) -> Vec<Dispatcher> {
        if self.config.grouping == Grouping::WholeService {
            return vec![Dispatcher::Local];
        }
        let service = self.config.service.as_str();
        let id = &self.groups[index].id;
        group::sort_by_preference(instances, &snapshot.topology, service, id);
        let mut order = Vec::with_capacity(instances.len() + 1);
        for instance in instances {
            if instance.id == self.config.instance {
                order.push(Dispatcher::Local);
                break;
            }
            order.push(Dispatcher::Peer(self.peers.index(&instance.id)));
        }
        if order.last() != Some(&Dispatcher::Local) {
            order.push(Dispatcher::Local);
        }
        order
    }

    fn refuse_if_unavailable(&mut self, index: usize) -> Vec<(QueuedRequest, Refusal)> {
        if self.groups[index].listed_slots > 0 {
            return Vec::new();
        }
        let mut refused = Vec::new();
        while let Some(waiting) = self.groups[index].queue.pop() {
            self.groups[index].remove_request(waiting.from);
            refused.push((waiting, Refusal::no_backend()));
        }
        refused
    }
}
