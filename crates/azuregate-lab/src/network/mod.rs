/*!
Simulated network delays between availability zones, regions and clients, on
loopback.

Every endpoint has its own IP addresses, so the source address of a connection
identifies where it comes from. [`with_delay`] delays the bytes of a connection,
and a [`Relay`] does so as a proxy in front of an unmodified process.
*/

mod delay;
mod relay;

use std::{collections::HashMap, net::IpAddr, time::Duration};

use azuregate_core::{names::ZoneName, topology::Topology};

pub use delay::{BoxStream, with_delay};
pub use relay::Relay;

/// Time that opening a connection takes in addition to the round trip.
const CONNECT_OVERHEAD: Duration = Duration::from_millis(1);

/// One-way delay between a client and its own availability zone.
const CLIENT_ONE_WAY_DELAY: Duration = Duration::from_millis(1);

/// The endpoint that an IP address belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Endpoint {
    /// An entry instance in an availability zone.
    Entry(ZoneName),
    /// Clients whose nearest availability zone is this one.
    Clients(ZoneName),
}

/// The endpoints and the topology that their delays follow from.
#[derive(Clone, Debug)]
pub struct Network {
    topology: Topology,
    endpoints: HashMap<IpAddr, Endpoint>,
}

impl Network {
    /// Returns a network of `endpoints`; any other address has no delay.
    pub fn new(topology: Topology, endpoints: HashMap<IpAddr, Endpoint>) -> Network {
        Network { topology, endpoints }
    }

    /// Returns the one-way delay from an address to an availability zone.
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

    /// Returns the time that opening a connection takes: the round trip and a
    /// fixed overhead, or zero for an address that is not in the network.
    pub fn connect_delay(&self, from: IpAddr, to: &ZoneName) -> Duration {
        if !self.endpoints.contains_key(&from) {
            return Duration::ZERO;
        }
        2 * self.one_way_delay(from, to) + CONNECT_OVERHEAD
    }
}
