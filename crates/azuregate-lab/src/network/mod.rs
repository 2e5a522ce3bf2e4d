/*!
Delays between availability zones, regions and clients, on loopback.

Every party has IP numbers of its own, so the address that a connection comes
from tells where it starts. [`stretch`] delays what a connection carries, and a
[`Relay`] does so in front of a process that knows nothing of it.
*/

mod delay;
mod relay;

use std::{collections::HashMap, net::IpAddr, time::Duration};

use azuregate_core::{names::ZoneName, topology::Topology};

pub use delay::{BoxStream, stretch};
pub use relay::Relay;

/// What a new connection costs beside the round trip.
const CONNECT: Duration = Duration::from_millis(1);

/// One-way delay between a client and its own availability zone.
const CLIENT_DELAY: Duration = Duration::from_millis(1);

/// What stands behind an IP number.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Party {
    /// An entry instance in an availability zone.
    Entry(ZoneName),
    /// Clients whose nearest availability zone is this.
    Clients(ZoneName),
}

/// Who is where, and how far apart.
#[derive(Clone, Debug)]
pub struct Network {
    topology: Topology,
    parties: HashMap<IpAddr, Party>,
}

impl Network {
    /// A network of `parties`; any other address is as near as can be.
    pub fn new(topology: Topology, parties: HashMap<IpAddr, Party>) -> Network {
        Network { topology, parties }
    }

    /// The one-way delay from an address to an availability zone.
    pub fn one_way(&self, from: IpAddr, to: &ZoneName) -> Duration {
        let between = |zone| {
            let distance = self.topology.distance(zone, to);
            Duration::from_millis(self.topology.delay_ms(distance))
        };
        match self.parties.get(&from) {
            None => Duration::ZERO,
            Some(Party::Entry(zone)) => between(zone),
            Some(Party::Clients(zone)) => CLIENT_DELAY + between(zone),
        }
    }

    /// What opening a connection costs: the round trip, and the work at both
    /// ends. Nothing for an address that is not in the network.
    pub fn opening(&self, from: IpAddr, to: &ZoneName) -> Duration {
        if !self.parties.contains_key(&from) {
            return Duration::ZERO;
        }
        2 * self.one_way(from, to) + CONNECT
    }
}
