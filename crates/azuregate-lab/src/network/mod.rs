/*!
Delays between availability zones, regions and clients, on loopback.

Every party has IP numbers of its own, so the address that a connection comes
from tells where it starts. [`with_delay`] delays what a connection carries, and a
[`Relay`] does so in front of a process that knows nothing of it.
*/

mod delay;
mod relay;

use std::{collections::HashMap, net::IpAddr, time::Duration};

use azuregate_core::{names::ZoneName, topology::Topology};

pub use delay::{BoxStream, with_delay};
pub use relay::Relay;

/// What a new connection costs beside the round trip.
const CONNECT_OVERHEAD: Duration = Duration::from_millis(1);

/// One-way delay between a client and its own availability zone.
const CLIENT_ONE_WAY_DELAY: Duration = Duration::from_millis(1);

/// What stands behind an IP number.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// An entry instance in an availability zone.
    Entry(ZoneName),
    /// Clients whose nearest availability zone is this.
    Clients(ZoneName),
}

/// Who is where, and how far apart.
#[derive(Clone, Debug)]
pub struct Network {
    topology: Topology,
    endpoints: HashMap<IpAddr, Endpoint>,
}

impl Network {
    /// A network of `endpoints`; any other address is as near as can be.
    pub fn new(topology: Topology, endpoints: HashMap<IpAddr, Endpoint>) -> Network {
        Network { topology, endpoints }
    }

    /// The one-way delay from an address to an availability zone.
    pub fn one_way_delay(&self, from: IpAddr, to: &ZoneName) -> Duration {
        let between = |zone| {
            let distance = self.topology.distance(zone, to);
            Duration::from_millis(self.topology.delay_ms(distance))
        };
        match self.endpoints.get(&from) {
            None => Duration::ZERO,
            Some(Endpoint::Entry(zone)) => between(zone),
            Some(Endpoint::Clients(zone)) => CLIENT_ONE_WAY_DELAY + between(zone),
        }
    }

    /// What opening a connection costs: the round trip, and the work at both
    /// ends. Nothing for an address that is not in the network.
    pub fn connect_delay(&self, from: IpAddr, to: &ZoneName) -> Duration {
        if !self.endpoints.contains_key(&from) {
            return Duration::ZERO;
        }
        2 * self.one_way_delay(from, to) + CONNECT_OVERHEAD
    }
}
